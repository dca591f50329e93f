package tidebank.config;

import java.util.Collection;
import java.util.Locale;
import java.util.Optional;

/** Finds the known word that a misspelt one was probably meant to be. */
public final class KeySuggestions {
  /** An edit distance of up to this fraction of the word's length counts as a misspelling. */
  private static final int LENGTH_PER_EDIT = 3;

  private KeySuggestions() {}

  /** Returns the known word nearest to an unknown one, if any is near. */
  public static Optional<String> findNearest(String word, Collection<String> known) {
    String lowerCaseWord = word.toLowerCase(Locale.ROOT);
    String best = null;
    int bestDistance = Math.max(1, word.length() / LENGTH_PER_EDIT) + 1;
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
   * Returns the optimal string alignment distance: the least number of insertions, deletions,
   * substitutions and swaps of neighbours that turn one word into the other.
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
    int least =
        Math.min(
            Math.min(edits[i - 1][j], edits[i][j - 1]) + 1, edits[i - 1][j - 1] + substitution);
    boolean swapped =
        i > 1 && j > 1 && a.charAt(i - 1) == b.charAt(j - 2) && a.charAt(i - 2) == b.charAt(j - 1);
    return swapped ? Math.min(least, edits[i - 2][j - 2] + 1) : least;
  }
}
