package tidebank.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An index of the line numbers of a TOML file's tables and keys. The parser does not report them,
 * so the text is scanned again for table headers, keys and multi-line strings.
 */
final class TomlLineIndex {
  private static final Pattern HEADER =
      Pattern.compile("^\\s*\\[{1,2}\\s*([^\\]]+?)\\s*\\]{1,2}\\s*(#.*)?$");
  private static final Pattern KEY =
      Pattern.compile(
          "^\\s*((?:\"[^\"]*\"|'[^']*'|[A-Za-z0-9_.-]+)(?:\\s*\\.\\s*"
              + "(?:\"[^\"]*\"|'[^']*'|[A-Za-z0-9_-]+))*)\\s*=.*$");
  private static final List<String> MULTI_LINE_QUOTES = List.of("\"\"\"", "'''");

  private final Map<String, Integer> lineByPath = new HashMap<>();

  TomlLineIndex(String text) {
    String tablePrefix = "";
    Map<String, Integer> arrayLengths = new HashMap<>();
    int lineNumber = 0;
    String openQuotes = null;
    for (String line : text.split("\n", -1)) {
      lineNumber++;
      if (openQuotes != null) {
        openQuotes = line.contains(openQuotes) ? null : openQuotes;
        continue;
      }
      Matcher header = HEADER.matcher(line);
      Matcher key = KEY.matcher(line);
      if (header.matches()) {
        String path = resolveTablePath(line, unquote(header.group(1)), arrayLengths);
        lineByPath.putIfAbsent(path, lineNumber);
        tablePrefix = path + ".";
      } else if (key.matches()) {
        lineByPath.putIfAbsent(tablePrefix + unquote(key.group(1)), lineNumber);
        openQuotes = findOpenQuotes(line);
      }
    }
  }

  /** Returns the path of a table. For a table of an array, it ends in the index, as in a[0]. */
  private static String resolveTablePath(
      String line, String name, Map<String, Integer> arrayLengths) {
    if (!line.trim().startsWith("[[")) {
      return name;
    }
    int length = arrayLengths.merge(name, 1, Integer::sum);
    return name + "[" + (length - 1) + "]";
  }

  /** Returns the quotes of a multi-line string that is still open after the line, or null. */
  private static String findOpenQuotes(String line) {
    String open = null;
    for (String quotes : MULTI_LINE_QUOTES) {
      int start = line.indexOf(quotes);
      if (start >= 0 && line.indexOf(quotes, start + quotes.length()) < 0) {
        open = quotes;
      }
    }
    return open;
  }

  private static String unquote(String key) {
    return key.replaceAll("\\s*\\.\\s*", ".").replace("\"", "").replace("'", "");
  }

  /**
   * Returns the line number of a key from 1. If the key has none, returns that of the innermost
   * table around it, or 1 if no table has one either.
   */
  int lineOf(String path) {
    for (String ancestor = path; !ancestor.isEmpty(); ancestor = parentOf(ancestor)) {
      Integer line = lineByPath.get(ancestor);
      if (line != null) {
        return line;
      }
    }
    return 1;
  }

  private static String parentOf(String path) {
    int end = Math.max(path.lastIndexOf('.'), path.lastIndexOf('['));
    return end < 0 ? "" : path.substring(0, end);
  }
}
