package tidebank.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A TOML file that is read by a checked description of its keys. What is wrong is gathered, not
 * thrown at the first sight: {@link #check} names every faulty, missing and unknown key with its
 * line, an unknown one with the known key that is nearest to it.
 */
public final class Toml {
  private static final Pattern HEADER =
      Pattern.compile("^\\s*\\[{1,2}\\s*([^\\]]+?)\\s*\\]{1,2}\\s*(#.*)?$");
  private static final Pattern KEY =
      Pattern.compile(
          "^\\s*((?:\"[^\"]*\"|'[^']*'|[A-Za-z0-9_.-]+)(?:\\s*\\.\\s*"
              + "(?:\"[^\"]*\"|'[^']*'|[A-Za-z0-9_-]+))*)\\s*=.*$");

  /** An edit distance up to a third of the key still counts as a slip. */
  private static final int NEAR = 3;

  private final String name;
  private final Map<String, Integer> lines = new HashMap<>();
  private final List<String> faults = new ArrayList<>();
  private final List<Table> opened = new ArrayList<>();
  private final Table root;

  private Toml(String name, String text) throws MalformedInputException {
    this.name = name;
    JsonNode tree;
    try {
      tree = new TomlMapper().readTree(text);
    } catch (JsonProcessingException fault) {
      JsonLocation at = fault.getLocation();
      throw new MalformedInputException(
          name + (at == null ? "" : ":" + at.getLineNr()) + ": " + fault.getOriginalMessage());
    } catch (IOException | RuntimeException fault) {
      throw new MalformedInputException(name + ": no TOML: " + fault.getMessage());
    }
    index(text);
    root = new Table("", tree);
  }

  public static Toml read(Path file) throws MalformedInputException {
    try {
      return new Toml(file.toString(), Files.readString(file));
    } catch (IOException | RuntimeException fault) {
      if (fault instanceof MalformedInputException malformed) {
        throw malformed;
      }
      throw new MalformedInputException(
          file + ": cannot be read: " + fault.getClass().getSimpleName());
    }
  }

  public static Toml read(String name, String text) throws MalformedInputException {
    return new Toml(name, text);
  }

  public Table root() {
    return root;
  }

  /** A fault that the reader's caller found, at a key's line. */
  public void fault(String key, String what) {
    faults.add(name + ":" + line(key) + ": " + key + ": " + what);
  }

  /** Throws if anything was wrong; keys that nobody asked for count as wrong. */
  public void check() throws MalformedInputException {
    for (int i = 0; i < opened.size(); i++) {
      opened.get(i).unknown();
    }
    if (!faults.isEmpty()) {
      throw new MalformedInputException(String.join("\n", new LinkedHashSet<>(faults)));
    }
  }

  /**
   * Jackson reads TOML as a whole and forgets the lines, so they are noted here by a light pass
   * over the text.
   */
  private void index(String text) {
    String prefix = "";
    Map<String, Integer> tables = new HashMap<>();
    int number = 0;
    String open = null;
    for (String line : text.split("\n", -1)) {
      number++;
      if (open != null) {
        open = line.contains(open) ? null : open;
        continue;
      }
      Matcher header = HEADER.matcher(line);
      Matcher key = KEY.matcher(line);
      if (header.matches()) {
        prefix = plain(header.group(1));
        if (line.trim().startsWith("[[")) {
          int count = tables.merge(prefix, 1, Integer::sum);
          prefix = prefix + "[" + (count - 1) + "]";
        }
        lines.putIfAbsent(prefix, number);
        prefix += ".";
      } else if (key.matches()) {
        lines.putIfAbsent(prefix + plain(key.group(1)), number);
        for (String quotes : List.of("\"\"\"", "'''")) {
          int at = line.indexOf(quotes);
          if (at >= 0 && line.indexOf(quotes, at + 3) < 0) {
            open = quotes;
          }
        }
      }
    }
  }

  private static String plain(String key) {
    return key.replaceAll("\\s*\\.\\s*", ".").replace("\"", "").replace("'", "");
  }

  private int line(String key) {
    for (String at = key; !at.isEmpty(); ) {
      Integer line = lines.get(at);
      if (line != null) {
        return line;
      }
      int cut = Math.max(at.lastIndexOf('.'), at.lastIndexOf('['));
      at = cut < 0 ? "" : at.substring(0, cut);
    }
    return 1;
  }

  /** The known word nearest to one that is not known, or null where none is near. */
  public static String nearest(String word, Collection<String> known) {
    String best = null;
    int least = Math.max(1, word.length() / NEAR) + 1;
    for (String candidate : known) {
      int distance = distance(word.toLowerCase(Locale.ROOT), candidate.toLowerCase(Locale.ROOT));
      if (distance < least) {
        least = distance;
        best = candidate;
      }
    }
    return best;
  }

  /** Edits (a letter more, less, other, or two swapped) from one word to another. */
  static int distance(String a, String b) {
    int[][] edits = new int[a.length() + 1][b.length() + 1];
    for (int i = 0; i <= a.length(); i++) {
      for (int j = 0; j <= b.length(); j++) {
        if (i == 0 || j == 0) {
          edits[i][j] = i + j;
          continue;
        }
        int same = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
        edits[i][j] =
            Math.min(Math.min(edits[i - 1][j], edits[i][j - 1]) + 1, edits[i - 1][j - 1] + same);
        if (i > 1
            && j > 1
            && a.charAt(i - 1) == b.charAt(j - 2)
            && a.charAt(i - 2) == b.charAt(j - 1)) {
          edits[i][j] = Math.min(edits[i][j], edits[i - 2][j - 2] + 1);
        }
      }
    }
    return edits[a.length()][b.length()];
  }

  /** One table of the file. Every asked key is a known one. */
  public final class Table {
    private final String path;
    private final JsonNode node;
    private final Set<String> known = new LinkedHashSet<>();
    private boolean anyKey;

    private Table(String path, JsonNode node) {
      this.path = path;
      this.node = node;
      opened.add(this);
    }

    public String path() {
      return path;
    }

    private String full(String key) {
      return path.isEmpty() ? key : path + "." + key;
    }

    private JsonNode at(String key) {
      known.add(key);
      return node.path(key);
    }

    public boolean has(String key) {
      return !at(key).isMissingNode();
    }

    public void fault(String key, String what) {
      Toml.this.fault(full(key), what);
    }

    private <T> T typed(
        String key, T absent, boolean needed, String wanted, Function<JsonNode, T> read) {
      JsonNode value = at(key);
      if (value.isMissingNode()) {
        if (needed) {
          fault(key, "is missing, wanted " + wanted);
        }
        return absent;
      }
      T result = read.apply(value);
      if (result == null) {
        fault(key, "found " + value + ", wanted " + wanted);
        return absent;
      }
      return result;
    }

    public String text(String key, String absent) {
      return typed(
          key, absent, false, "a text", value -> value.isTextual() ? value.textValue() : null);
    }

    public String requiredText(String key) {
      return typed(key, "", true, "a text", value -> value.isTextual() ? value.textValue() : null);
    }

    public boolean flag(String key, boolean absent) {
      return typed(
          key,
          absent,
          false,
          "true or false",
          value -> value.isBoolean() ? value.booleanValue() : null);
    }

    public long integer(String key, long absent, long least, long most) {
      return typed(
          key,
          absent,
          false,
          "a whole number from " + least + (most == Long.MAX_VALUE ? "" : " to " + most),
          value ->
              value.canConvertToLong()
                      && value.isIntegralNumber()
                      && value.longValue() >= least
                      && value.longValue() <= most
                  ? value.longValue()
                  : null);
    }

    public double number(String key, double absent, double least, double most) {
      return typed(
          key,
          absent,
          false,
          "a number from " + least + " to " + most,
          value ->
              value.isNumber() && value.doubleValue() >= least && value.doubleValue() <= most
                  ? value.doubleValue()
                  : null);
    }

    public <E extends Enum<E>> E choice(String key, E absent, Class<E> choices) {
      List<String> names =
          Arrays.stream(choices.getEnumConstants())
              .map(e -> e.name().toLowerCase(Locale.ROOT).replace('_', '-'))
              .toList();
      return typed(
          key,
          absent,
          false,
          "one of " + String.join(", ", names),
          value -> {
            int row = value.isTextual() ? names.indexOf(value.textValue()) : -1;
            return row < 0 ? null : choices.getEnumConstants()[row];
          });
    }

    public List<String> texts(String key) {
      return typed(
          key,
          List.of(),
          false,
          "a list of texts",
          value -> {
            List<String> texts = new ArrayList<>();
            for (JsonNode item : value) {
              if (!item.isTextual()) {
                return null;
              }
              texts.add(item.textValue());
            }
            return value.isArray() ? texts : null;
          });
    }

    public List<Double> numbers(String key) {
      return typed(
          key,
          List.of(),
          false,
          "a list of numbers",
          value -> {
            List<Double> numbers = new ArrayList<>();
            for (JsonNode item : value) {
              if (!item.isNumber()) {
                return null;
              }
              numbers.add(item.doubleValue());
            }
            return value.isArray() ? numbers : null;
          });
    }

    /** A table below this one; an absent one is empty. */
    public Table table(String key) {
      JsonNode value = at(key);
      if (!value.isMissingNode() && !value.isObject()) {
        fault(key, "found " + value + ", wanted a table");
      }
      return new Table(full(key), value);
    }

    /** The tables of an array such as {@code [[row]]}. */
    public List<Table> tables(String key) {
      JsonNode value = at(key);
      List<Table> tables = new ArrayList<>();
      if (!value.isMissingNode() && !value.isArray()) {
        fault(key, "found " + value + ", wanted tables [[" + full(key) + "]]");
      }
      for (int i = 0; value.isArray() && i < value.size(); i++) {
        tables.add(new Table(full(key) + "[" + i + "]", value.get(i)));
      }
      return tables;
    }

    /** A table whose keys are free: each with its value as text. */
    public Map<String, String> freeTexts() {
      anyKey = true;
      Map<String, String> values = new LinkedHashMap<>();
      node.fields()
          .forEachRemaining(
              entry -> {
                if (entry.getValue().isTextual()) {
                  values.put(entry.getKey(), entry.getValue().textValue());
                } else if (entry.getValue().isValueNode()) {
                  values.put(entry.getKey(), entry.getValue().asText());
                } else {
                  fault(entry.getKey(), "found " + entry.getValue() + ", wanted a text");
                }
              });
      return values;
    }

    private void unknown() {
      if (anyKey || !node.isObject()) {
        return;
      }
      node.fieldNames()
          .forEachRemaining(
              key -> {
                if (!known.contains(key)) {
                  String near = nearest(key, known);
                  fault(
                      key,
                      "unknown key"
                          + (near == null
                              ? "; known are " + String.join(", ", known)
                              : "; did you mean \"" + near + "\"?"));
                }
              });
    }
  }
}
