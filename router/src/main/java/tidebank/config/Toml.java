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
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * A TOML file with checked keys. The caller reads each key that it knows. Faults are collected, and
 * {@link #check} reports all invalid, missing and unknown keys together, with their lines. For an
 * unknown key it suggests the known key with the most similar name.
 */
public final class Toml {
  private final String name;
  private final TomlLineIndex lines;
  private final List<String> faults = new ArrayList<>();
  private final List<Table> openedTables = new ArrayList<>();
  private final Table root;

  private Toml(String name, String text) throws MalformedInputException {
    this.name = name;
    JsonNode tree = parse(name, text);
    lines = new TomlLineIndex(text);
    root = new Table("", tree);
  }

  private static JsonNode parse(String name, String text) throws MalformedInputException {
    try {
      return new TomlMapper().readTree(text);
    } catch (JsonProcessingException invalid) {
      JsonLocation location = invalid.getLocation();
      String prefix = location == null ? name : name + ":" + location.getLineNr();
      throw new MalformedInputException(prefix + ": " + invalid.getOriginalMessage());
    } catch (RuntimeException invalid) {
      throw new MalformedInputException(name + ": not valid TOML: " + invalid.getMessage());
    }
  }

  /**
   * Reads a file.
   *
   * @throws MalformedInputException if it cannot be read or is not TOML
   */
  public static Toml read(Path file) throws MalformedInputException {
    try {
      return new Toml(file.toString(), Files.readString(file));
    } catch (MalformedInputException malformed) {
      throw malformed;
    } catch (IOException | RuntimeException unreadable) {
      throw new MalformedInputException(
          file + ": cannot be read: " + unreadable.getClass().getSimpleName());
    }
  }

  /**
   * Reads TOML from a string.
   *
   * @param name the name that messages use for the file
   * @throws MalformedInputException if it is not TOML
   */
  public static Toml read(String name, String text) throws MalformedInputException {
    return new Toml(name, text);
  }

  /** Returns the root table, which holds the top-level keys and tables. */
  public Table root() {
    return root;
  }

  /** Adds a fault that the caller found, with the line number of the key. */
  public void addFault(String key, String description) {
    faults.add(name + ":" + lines.lineOf(key) + ": " + key + ": " + description);
  }

  /**
   * Throws if there are faults. A key that the caller has not read counts as unknown.
   *
   * @throws MalformedInputException with one line for each fault
   */
  public void check() throws MalformedInputException {
    for (Table table : List.copyOf(openedTables)) {
      table.addUnknownKeyFaults();
    }
    if (!faults.isEmpty()) {
      throw new MalformedInputException(String.join("\n", new LinkedHashSet<>(faults)));
    }
  }

  /** Returns the known word that is most similar to {@code word}, or null if none is similar. */
  public static String findNearest(String word, Collection<String> known) {
    return KeySuggestions.findNearest(word, known).orElse(null);
  }

  /**
   * A table of the file. Each key that the caller reads counts as known. For a value of the wrong
   * type or out of range, a fault is added and the default is returned.
   */
  public final class Table {
    private final String path;
    private final JsonNode node;
    private final Set<String> knownKeys = new LinkedHashSet<>();
    private boolean anyKeyAllowed;

    private Table(String path, JsonNode node) {
      this.path = path;
      this.node = node;
      openedTables.add(this);
    }

    /** Returns the dotted path of the table, which is empty for the root. */
    public String path() {
      return path;
    }

    private String pathOf(String key) {
      return path.isEmpty() ? key : path + "." + key;
    }

    private JsonNode value(String key) {
      knownKeys.add(key);
      return node.path(key);
    }

    /** Returns whether the key is present. */
    public boolean has(String key) {
      return !value(key).isMissingNode();
    }

    /** Adds a fault that the caller found, with the line number of a key of this table. */
    public void addFault(String key, String description) {
      Toml.this.addFault(pathOf(key), description);
    }

    /** Returns a converted value; {@code reader} returns null if the value is invalid. */
    private <T> T read(String key, T defaultValue, String wanted, Function<JsonNode, T> reader) {
      JsonNode value = value(key);
      if (value.isMissingNode()) {
        return defaultValue;
      }
      T result = reader.apply(value);
      if (result == null) {
        addTypeFault(key, value, wanted);
        return defaultValue;
      }
      return result;
    }

    private void addTypeFault(String key, JsonNode value, String wanted) {
      addFault(key, "found " + value + ", wanted " + wanted);
    }

    /** Returns a string, or the default if the key is absent. */
    public String text(String key, String defaultValue) {
      return read(
          key, defaultValue, "a string", value -> value.isTextual() ? value.textValue() : null);
    }

    /** Returns a string. If the key is absent, adds a fault and returns an empty string. */
    public String requiredText(String key) {
      if (!has(key)) {
        addFault(key, "is missing, wanted a string");
      }
      return text(key, "");
    }

    /** Returns a boolean, or the default if the key is absent. */
    public boolean flag(String key, boolean defaultValue) {
      return read(
          key,
          defaultValue,
          "true or false",
          value -> value.isBoolean() ? value.booleanValue() : null);
    }

    /** Returns an integer from {@code min} to {@code max}, or the default if the key is absent. */
    public long integer(String key, long defaultValue, long min, long max) {
      String wanted =
          "a whole number from " + min + (max == Long.MAX_VALUE ? " upwards" : " to " + max);
      return read(
          key,
          defaultValue,
          wanted,
          value ->
              value.canConvertToLong()
                      && value.isIntegralNumber()
                      && value.longValue() >= min
                      && value.longValue() <= max
                  ? value.longValue()
                  : null);
    }

    /** Returns a number from {@code min} to {@code max}, or the default if the key is absent. */
    public double number(String key, double defaultValue, double min, double max) {
      return read(
          key,
          defaultValue,
          "a number from " + min + " to " + max,
          value ->
              value.isNumber() && value.doubleValue() >= min && value.doubleValue() <= max
                  ? value.doubleValue()
                  : null);
    }

    /**
     * Returns an enum constant by its name in lower case with dashes for underscores, or the
     * default if the key is absent.
     */
    public <E extends Enum<E>> E choice(String key, E defaultValue, Class<E> type) {
      E[] constants = type.getEnumConstants();
      List<String> names = Arrays.stream(constants).map(Table::nameInFile).toList();
      return read(
          key,
          defaultValue,
          "one of " + String.join(", ", names),
          value -> {
            int index = value.isTextual() ? names.indexOf(value.textValue()) : -1;
            return index < 0 ? null : constants[index];
          });
    }

    private static String nameInFile(Enum<?> constant) {
      return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns a list of strings, which is empty if the key is absent. */
    public List<String> texts(String key) {
      return readList(key, "a list of strings", item -> item.isTextual() ? item.textValue() : null);
    }

    /** Returns a list of numbers, which is empty if the key is absent. */
    public List<Double> numbers(String key) {
      return readList(
          key, "a list of numbers", item -> item.isNumber() ? item.doubleValue() : null);
    }

    private <T> List<T> readList(String key, String wanted, Function<JsonNode, T> itemReader) {
      return read(
          key,
          List.of(),
          wanted,
          value -> {
            List<T> items = new ArrayList<>();
            for (JsonNode item : value) {
              T converted = itemReader.apply(item);
              if (converted == null) {
                return null;
              }
              items.add(converted);
            }
            return value.isArray() ? items : null;
          });
    }

    /** Returns a table within this one, which is empty if the key is absent. */
    public Table table(String key) {
      JsonNode value = value(key);
      if (!value.isMissingNode() && !value.isObject()) {
        addTypeFault(key, value, "a table");
      }
      return new Table(pathOf(key), value);
    }

    /** Returns the tables of an array of tables, as in {@code [[row]]}. */
    public List<Table> tables(String key) {
      JsonNode value = value(key);
      List<Table> tables = new ArrayList<>();
      if (!value.isMissingNode() && !value.isArray()) {
        addTypeFault(key, value, "an array of tables [[" + pathOf(key) + "]]");
      }
      for (int i = 0; value.isArray() && i < value.size(); i++) {
        tables.add(new Table(pathOf(key) + "[" + i + "]", value.get(i)));
      }
      return tables;
    }

    /** Returns the values of all keys as strings. The table may have any keys. */
    public Map<String, String> textsByKey() {
      anyKeyAllowed = true;
      Map<String, String> values = new LinkedHashMap<>();
      node.fields()
          .forEachRemaining(
              entry -> {
                JsonNode value = entry.getValue();
                if (value.isValueNode()) {
                  values.put(entry.getKey(), value.asText());
                } else {
                  addTypeFault(entry.getKey(), value, "a string");
                }
              });
      return values;
    }

    private void addUnknownKeyFaults() {
      if (anyKeyAllowed || !node.isObject()) {
        return;
      }
      node.fieldNames()
          .forEachRemaining(
              key -> {
                if (!knownKeys.contains(key)) {
                  addFault(key, "unknown key" + suggestion(key));
                }
              });
    }

    private String suggestion(String key) {
      Optional<String> nearest = KeySuggestions.findNearest(key, knownKeys);
      return nearest.isPresent()
          ? "; did you mean \"" + nearest.get() + "\"?"
          : "; known keys are " + String.join(", ", knownKeys);
    }
  }
}
