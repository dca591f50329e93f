package tidebank.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.LinkedHashMap;
import java.util.Map;
import tidebank.model.Idempotency;
import tidebank.model.QueryClass;
import tidebank.model.Settings;

/**
 * Reader of the router settings in the platform's JSON format. An absent value gets a default that
 * enables no feature and assumes no guarantee.
 *
 * <p>This is the only class that knows the platform's names of settings, such as {@code services},
 * {@code specifics} and {@code guarantees}.
 */
public final class SettingsReader {
  /** A time in milliseconds that is longer than any router runs. */
  private static final double NEVER_MS = 1e12;

  private SettingsReader() {}

  /**
   * Reads the settings.
   *
   * @throws MalformedInputException if a value has the wrong type or is out of range
   */
  public static Settings read(JsonNode config) throws MalformedInputException {
    JsonNode specifics = childOrMissing(config, "specifics");
    Map<String, QueryClass> queryClasses =
        readQueryClasses(childOrMissing(config, "services"), specifics);
    Map<String, Double> quotas = readQuotas(childOrMissing(config, "tenants"));
    return new Settings(
        Math.max(1, JsonFields.integer(config, "instances", 1)),
        JsonFields.integer(config, "rank", -1),
        Math.max(1, JsonFields.duration(config, "tickMs", 1)),
        queryClasses,
        quotas,
        JsonFields.number(config, "overShareWorth", 1),
        readLayout(specifics),
        readLimits(childOrMissing(config, "limits"), isWatchOnRequest(config)),
        readRules(childOrMissing(config, "guarantees")));
  }

  private static Map<String, QueryClass> readQueryClasses(JsonNode services, JsonNode specifics)
      throws MalformedInputException {
    Map<String, QueryClass> queryClasses = new LinkedHashMap<>();
    for (int index = 0; index < services.size(); index++) {
      QueryClass queryClass = readQueryClass(services.get(index), specifics, index);
      queryClasses.put(queryClass.name(), queryClass);
    }
    return queryClasses;
  }

  private static QueryClass readQueryClass(JsonNode service, JsonNode specifics, int index)
      throws MalformedInputException {
    return new QueryClass(
        JsonFields.text(service, "name"),
        parseIdempotency(JsonFields.text(service, "semantics", "")),
        JsonFields.duration(service, "windowMs", 0),
        JsonFields.duration(service, "onTimeMs", JsonFields.number(service, "deadlineMs", 0)),
        JsonFields.duration(service, "deadlineMs", 0),
        JsonFields.number(service, "lateWorth", 0),
        readArrayElement(specifics, "floorByClass", index, 1),
        readArrayElement(specifics, "classNeed", index, 1),
        (int) readArrayElement(specifics, "secondStep", index, 0));
  }

  private static Idempotency parseIdempotency(String semantics) {
    return switch (semantics) {
      case "read_like" -> Idempotency.IDEMPOTENT;
      case "idempotency_key" -> Idempotency.WITH_KEY;
      default -> Idempotency.NON_IDEMPOTENT;
    };
  }

  /** Returns the array element of a query class, or the default if it is not a number. */
  private static double readArrayElement(
      JsonNode specifics, String field, int index, double defaultValue) {
    JsonNode value = childOrMissing(specifics, field).get(index);
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

  private static Settings.Layout readLayout(JsonNode specifics) throws MalformedInputException {
    return new Settings.Layout(
        Math.max(0, JsonFields.integer(specifics, "slices", 0)),
        Math.max(0, JsonFields.integer(specifics, "positions", 0)),
        Math.max(0, JsonFields.integer(specifics, "width", 0)),
        Math.max(1, JsonFields.integer(specifics, "bundleMax", 1)),
        JsonFields.duration(specifics, "callMs", 0));
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
