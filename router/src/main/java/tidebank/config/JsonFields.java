package tidebank.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads fields of the wire's objects; an absent field and a null are the same. */
public final class JsonFields {
  private static final double US_PER_MS = 1000.0;

  private JsonFields() {}

  public static JsonNode required(JsonNode node, String field) throws MalformedInputException {
    JsonNode value = node.get(field);
    if (value == null || value.isNull()) {
      throw new MalformedInputException("field '" + field + "' is missing in " + brief(node));
    }
    return value;
  }

  public static String text(JsonNode node, String field) throws MalformedInputException {
    JsonNode value = required(node, field);
    if (!value.isTextual()) {
      throw new MalformedInputException(
          "field '" + field + "': found " + brief(value) + ", wanted a text");
    }
    return value.textValue();
  }

  public static String text(JsonNode node, String field, String absent) {
    JsonNode value = node.get(field);
    return value == null || !value.isTextual() ? absent : value.textValue();
  }

  public static double number(JsonNode node, String field) throws MalformedInputException {
    JsonNode value = required(node, field);
    if (!value.isNumber()) {
      throw new MalformedInputException(
          "field '" + field + "': found " + brief(value) + ", wanted a number");
    }
    return value.doubleValue();
  }

  public static double number(JsonNode node, String field, double absent)
      throws MalformedInputException {
    JsonNode value = node.get(field);
    return value == null || value.isNull() ? absent : number(node, field);
  }

  public static long integer(JsonNode node, String field) throws MalformedInputException {
    return (long) number(node, field);
  }

  public static int integer(JsonNode node, String field, int absent)
      throws MalformedInputException {
    return (int) number(node, field, absent);
  }

  public static boolean flag(JsonNode node, String field) throws MalformedInputException {
    JsonNode value = node.get(field);
    if (value != null && !value.isNull() && !value.isBoolean()) {
      throw new MalformedInputException(
          "field '" + field + "': found " + brief(value) + ", wanted true or false");
    }
    return value != null && value.booleanValue();
  }

  public static long micros(double ms) {
    return Math.round(ms * US_PER_MS);
  }

  public static long micros(JsonNode node, String field) throws MalformedInputException {
    return micros(number(node, field));
  }

  public static long micros(JsonNode node, String field, double absentMs)
      throws MalformedInputException {
    return micros(number(node, field, absentMs));
  }

  /** A length of time, which is never below 0. */
  public static long duration(JsonNode node, String field, double absentMs)
      throws MalformedInputException {
    long span = micros(node, field, absentMs);
    if (span < 0) {
      throw new MalformedInputException(
          "field '" + field + "': found " + brief(node.get(field)) + ", wanted a number from 0");
    }
    return span;
  }

  public static double millis(long micros) {
    return micros / US_PER_MS;
  }

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

  private static String brief(JsonNode node) {
    String whole = node.toString();
    return whole.length() <= 120 ? whole : whole.substring(0, 120) + "...";
  }
}
