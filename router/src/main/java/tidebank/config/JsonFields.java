package tidebank.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;

/** Accessors of JSON object fields. A null counts as an absent field. */
public final class JsonFields {
  private static final double US_PER_MS = 1000.0;

  /** Maximum number of characters of a JSON value that a message quotes. */
  private static final int MAX_QUOTED_LENGTH = 120;

  private JsonFields() {}

  /**
   * Returns a field.
   *
   * @throws MalformedInputException if it is absent
   */
  public static JsonNode requiredField(JsonNode node, String field) throws MalformedInputException {
    JsonNode value = node.get(field);
    if (isAbsent(value)) {
      throw new MalformedInputException("field '" + field + "' is missing in " + quoted(node));
    }
    return value;
  }

  /**
   * Returns a string field.
   *
   * @throws MalformedInputException if it is absent or not a string
   */
  public static String text(JsonNode node, String field) throws MalformedInputException {
    JsonNode value = requiredField(node, field);
    if (!value.isTextual()) {
      throw invalidValue(field, value, "a string");
    }
    return value.textValue();
  }

  /** Returns a string field, or the default if it is absent or not a string. */
  public static String text(JsonNode node, String field, String defaultValue) {
    JsonNode value = node.get(field);
    return value == null || !value.isTextual() ? defaultValue : value.textValue();
  }

  /**
   * Returns a number field.
   *
   * @throws MalformedInputException if it is absent or not a number
   */
  public static double number(JsonNode node, String field) throws MalformedInputException {
    JsonNode value = requiredField(node, field);
    if (!value.isNumber()) {
      throw invalidValue(field, value, "a number");
    }
    return value.doubleValue();
  }

  /**
   * Returns a number field, or the default if it is absent.
   *
   * @throws MalformedInputException if it is not a number
   */
  public static double number(JsonNode node, String field, double defaultValue)
      throws MalformedInputException {
    return isAbsent(node.get(field)) ? defaultValue : number(node, field);
  }

  /**
   * Returns a number field, truncated to an integer.
   *
   * @throws MalformedInputException if it is absent or not a number
   */
  public static long integer(JsonNode node, String field) throws MalformedInputException {
    return (long) number(node, field);
  }

  /**
   * Returns a number field, truncated to an integer, or the default if it is absent.
   *
   * @throws MalformedInputException if it is not a number
   */
  public static int integer(JsonNode node, String field, int defaultValue)
      throws MalformedInputException {
    return (int) number(node, field, defaultValue);
  }

  /**
   * Returns a boolean field, or false if it is absent.
   *
   * @throws MalformedInputException if it is not a boolean
   */
  public static boolean flag(JsonNode node, String field) throws MalformedInputException {
    JsonNode value = node.get(field);
    if (!isAbsent(value) && !value.isBoolean()) {
      throw invalidValue(field, value, "true or false");
    }
    return value != null && value.booleanValue();
  }

  /** Converts milliseconds to microseconds, rounded to an integer. */
  public static long toMicros(double ms) {
    return Math.round(ms * US_PER_MS);
  }

  /**
   * Returns a field given in milliseconds, converted to microseconds.
   *
   * @throws MalformedInputException if it is absent or not a number
   */
  public static long micros(JsonNode node, String field) throws MalformedInputException {
    return toMicros(number(node, field));
  }

  /**
   * Returns a field given in milliseconds, converted to microseconds, or the default if it is
   * absent.
   *
   * @throws MalformedInputException if it is not a number
   */
  public static long micros(JsonNode node, String field, double defaultMs)
      throws MalformedInputException {
    return toMicros(number(node, field, defaultMs));
  }

  /**
   * Returns a duration given in milliseconds, converted to microseconds, or the default if it is
   * absent.
   *
   * @throws MalformedInputException if it is not a number or is negative
   */
  public static long duration(JsonNode node, String field, double defaultMs)
      throws MalformedInputException {
    long duration = micros(node, field, defaultMs);
    if (duration < 0) {
      throw invalidValue(field, node.get(field), "a number of at least 0");
    }
    return duration;
  }

  /** Converts microseconds to milliseconds. */
  public static double toMillis(long micros) {
    return micros / US_PER_MS;
  }

  /** Returns the number fields of an object in their order. Other fields are ignored. */
  public static Map<String, Double> numbers(JsonNode node) {
    Map<String, Double> values = new LinkedHashMap<>();
    if (node != null && node.isObject()) {
      node.fields()
          .forEachRemaining(
              field -> {
                if (field.getValue().isNumber()) {
                  values.put(field.getKey(), field.getValue().doubleValue());
                }
              });
    }
    return values;
  }

  private static boolean isAbsent(JsonNode value) {
    return value == null || value.isNull();
  }

  private static MalformedInputException invalidValue(String field, JsonNode value, String wanted) {
    return new MalformedInputException(
        "field '" + field + "': found " + quoted(value) + ", wanted " + wanted);
  }

  private static String quoted(JsonNode node) {
    String text = node.toString();
    return text.length() <= MAX_QUOTED_LENGTH ? text : text.substring(0, MAX_QUOTED_LENGTH) + "...";
  }
}
