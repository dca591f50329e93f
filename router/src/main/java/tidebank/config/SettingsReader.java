package tidebank.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.LinkedHashMap;
import java.util.Map;
import tidebank.model.Idempotency;
import tidebank.model.QueryClass;
import tidebank.model.Settings;

/**
 * Reads a router's settings from the platform's form. An absent value gets the default that permits
 * or promises nothing.
 *
 * <p>This is the only class that knows the platform's words: {@code services}, {@code specifics},
 * {@code guarantees} and so on.
 */
public final class SettingsReader {
  /** Longer than any router runs, in milliseconds. */
  private static final double NEVER_MS = 1e12;

  private SettingsReader() {}

  /**
   * Reads the settings.
   *
   * @throws MalformedInputException if a value has the wrong type or is out of range
   */
  public static Settings read(JsonNode config) throws MalformedInputException {
    JsonNode layout = childOrMissing(config, "specifics");
    Map<String, QueryClass> queryClasses =
        readQueryClasses(childOrMissing(config, "services"), layout);
    Map<String, Double> quotas = readQuotas(childOrMissing(config, "tenants"));
    return new Settings(
        Math.max(1, JsonFields.integer(config, "instances", 1)),
        JsonFields.integer(config, "rank", -1),
        Math.max(1, JsonFields.duration(config, "tickMs", 1)),
        queryClasses,
        quotas,
        JsonFields.number(config, "overShareWorth", 1),
        readLayout(layout),
        readLimits(childOrMissing(config, "limits"), isWatchOnRequest(config)),
        readRules(childOrMissing(config, "guarantees")));
  }

  private static Map<String, QueryClass> readQueryClasses(JsonNode services, JsonNode layout)
      throws MalformedInputException {
    Map<String, QueryClass> queryClasses = new LinkedHashMap<>();
    for (int row = 0; row < services.size(); row++) {
      QueryClass queryClass = readQueryClass(services.get(row), layout, row);
      queryClasses.put(queryClass.name(), queryClass);
    }
    return queryClasses;
  }

  private static QueryClass readQueryClass(JsonNode service, JsonNode layout, int row)
      throws MalformedInputException {
    return new QueryClass(
        JsonFields.text(service, "name"),
        parseIdempotency(JsonFields.text(service, "semantics", "")),
        JsonFields.duration(service, "windowMs", 0),
        JsonFields.duration(service, "onTimeMs", JsonFields.number(service, "deadlineMs", 0)),
        JsonFields.duration(service, "deadlineMs", 0),
        JsonFields.number(service, "lateWorth", 0),
        readRowValue(layout, "floorByClass", row, 1),
        readRowValue(layout, "classNeed", row, 1),
        (int) readRowValue(layout, "secondStep", row, 0));
  }

  private static Idempotency parseIdempotency(String semantics) {
    return switch (semantics) {
      case "read_like" -> Idempotency.IDEMPOTENT;
      case "idempotency_key" -> Idempotency.WITH_KEY;
      default -> Idempotency.NON_IDEMPOTENT;
    };
  }

  /** Returns the value of a query class in an array, or the default if there is no number. */
  private static double readRowValue(JsonNode layout, String field, int row, double defaultValue) {
    JsonNode value = childOrMissing(layout, field).get(row);
    return value == null || !value.isNumber() ? defaultValue : value.doubleValue();
  }

  private static Map<String, Double> readQuotas(JsonNode tenants) throws MalformedInputException {
    Map<String, Double> quotas = new LinkedHashMap<>();
    for (JsonNode tenant : tenants) {
      double perSecond = JsonFields.number(tenant, "allowancePerS", 0);
      if (perSecond > 0) {
        quotas.put(JsonFields.text(tenant, "name"), perSecond);
      }
    }
    return quotas;
  }

  private static Settings.Layout readLayout(JsonNode layout) throws MalformedInputException {
    return new Settings.Layout(
        Math.max(0, JsonFields.integer(layout, "slices", 0)),
        Math.max(0, JsonFields.integer(layout, "positions", 0)),
        Math.max(0, JsonFields.integer(layout, "width", 0)),
        Math.max(1, JsonFields.integer(layout, "bundleMax", 1)),
        JsonFields.duration(layout, "callMs", 0));
  }

  private static boolean isWatchOnRequest(JsonNode config) {
    return JsonFields.text(config, "discovery", "push").equals("ask");
  }

  private static Settings.Limits readLimits(JsonNode limits, boolean watchOnRequest)
      throws MalformedInputException {
    return new Settings.Limits(
        Math.max(1, JsonFields.integer(limits, "maxAttempts", 1)),
        JsonFields.flag(limits, "secondCopies"),
        JsonFields.flag(limits, "cancel"),
        JsonFields.flag(limits, "mayProbe"),
        JsonFields.flag(limits, "retryAfter"),
        JsonFields.duration(limits, "maxRetryAfterMs", 0),
        JsonFields.integer(limits, "mostHeld", Integer.MAX_VALUE),
        watchOnRequest);
  }

  private static Settings.Rules readRules(JsonNode rules) throws MalformedInputException {
    return new Settings.Rules(
        JsonFields.duration(rules, "answerSlackMs", 0),
        JsonFields.duration(rules, "askEveryMs", NEVER_MS),
        JsonFields.duration(rules, "stopSendingWithinMs", 0),
        JsonFields.number(rules, "coldFrom", 0),
        JsonFields.duration(rules, "coldMs", 0),
        JsonFields.number(rules, "fallMultiple", 1),
        JsonFields.duration(rules, "tipAfterMs", 0),
        JsonFields.number(rules, "freeResends", 0),
        JsonFields.number(rules, "extraRatio", 0),
        JsonFields.duration(rules, "ratioSpanMs", 0));
  }

  private static JsonNode childOrMissing(JsonNode node, String field) {
    JsonNode value = node.get(field);
    return value == null || value.isNull() ? MissingNode.getInstance() : value;
  }
}
