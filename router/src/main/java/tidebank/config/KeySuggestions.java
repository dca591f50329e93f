package tidebank.config;

import java.util.Collection;
import java.util.Locale;
import java.util.Optional;

/** Finder of the known word that a misspelt word most likely stands for. */
public final class KeySuggestions {
  /** A misspelling has at most one edit for this many letters, or a single edit. */
  private static final int LETTERS_PER_EDIT = 3;

  private KeySuggestions() {}

  /**
   * Returns the known word with the smallest edit distance to {@code word}, ignoring case, or empty
   * if none is close enough to be a misspelling.
   */
  public static Optional<String> findNearest(String word, Collection<String> known) {
    String lowerCaseWord = word.toLowerCase(Locale.ROOT);
    String best = null;
    int bestDistance = Math.max(1, word.length() / LETTERS_PER_EDIT) + 1;
    for (String candidate : known) {
      int distance = distance(lowerCaseWord, candidate.toLowerCase(Locale.ROOT));
      if (distance < bestDistance) {
        bestDistance = distance;
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the optimal string alignment distance: the minimum number of insertions, deletions,
   * substitutions and swaps of adjacent letters that turn one word into the other.
   */
  static int distance(String a, String b) {
    int[][] edits = new int[a.length() + 1][b.length() + 1];
    for (int i = 0; i <= a.length(); i++) {
      for (int j = 0; j <= b.length(); j++) {
        edits[i][j] = i == 0 || j == 0 ? i + j : minEdits(edits, a, b, i, j);
      }
    }
    return edits[a.length()][b.length()];
  }

  private static int minEdits(int[][] edits, String a, String b, int i, int j) {
    int substitution = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
    int distance =
        Math.min(
            Math.min(edits[i - 1][j], edits[i][j - 1]) + 1, edits[i - 1][j - 1] + substitution);
    boolean swapped =
        i > 1 && j > 1 && a.charAt(i - 1) == b.charAt(j - 2) && a.charAt(i - 2) == b.charAt(j - 1);
    return swapped ? Math.min(distance, edits[i - 2][j - 2] + 1) : distance;
  }
}
