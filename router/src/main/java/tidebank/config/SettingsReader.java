package tidebank.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.LinkedHashMap;
import java.util.Map;
import tidebank.model.Idempotency;
import tidebank.model.QueryClass;
import tidebank.model.Settings;

/**
 * Reads an instance's settings. A figure that is absent becomes the one that permits or promises
 * nothing.
 */
public final class SettingsReader {
  private static final double MS_NEVER = 1e12;

  private SettingsReader() {}

  public static Settings read(JsonNode config) throws MalformedInputException {
    JsonNode limits = table(config, "limits");
    JsonNode rules = table(config, "guarantees");
    JsonNode layout = table(config, "specifics");
    Map<String, QueryClass> types = new LinkedHashMap<>();
    JsonNode services = table(config, "services");
    for (int i = 0; i < services.size(); i++) {
      QueryClass type = tableType(services.get(i), layout, i);
      types.put(type.name(), type);
    }
    Map<String, Double> allowances = new LinkedHashMap<>();
    for (JsonNode tenant : table(config, "tenants")) {
      double perSecond = JsonFields.number(tenant, "allowancePerS", 0);
      if (perSecond > 0) {
        allowances.put(JsonFields.text(tenant, "name"), perSecond);
      }
    }
    return new Settings(
        Math.max(1, JsonFields.integer(config, "instances", 1)),
        JsonFields.integer(config, "rank", -1),
        Math.max(1, JsonFields.duration(config, "tickMs", 1)),
        types,
        allowances,
        JsonFields.number(config, "overShareWorth", 1),
        new Settings.Layout(
            Math.max(0, JsonFields.integer(layout, "slices", 0)),
            Math.max(0, JsonFields.integer(layout, "positions", 0)),
            Math.max(0, JsonFields.integer(layout, "width", 0)),
            Math.max(1, JsonFields.integer(layout, "bundleMax", 1)),
            JsonFields.duration(layout, "callMs", 0)),
        new Settings.Limits(
            Math.max(1, JsonFields.integer(limits, "maxAttempts", 1)),
            JsonFields.flag(limits, "secondCopies"),
            JsonFields.flag(limits, "cancel"),
            JsonFields.flag(limits, "mayProbe"),
            JsonFields.flag(limits, "retryAfter"),
            JsonFields.duration(limits, "maxRetryAfterMs", 0),
            JsonFields.integer(limits, "mostHeld", Integer.MAX_VALUE),
            JsonFields.text(config, "discovery", "push").equals("ask")),
        new Settings.Rules(
            JsonFields.duration(rules, "answerSlackMs", 0),
            JsonFields.duration(rules, "askEveryMs", MS_NEVER),
            JsonFields.duration(rules, "stopSendingWithinMs", 0),
            JsonFields.number(rules, "coldFrom", 0),
            JsonFields.duration(rules, "coldMs", 0),
            JsonFields.number(rules, "fallMultiple", 1),
            JsonFields.duration(rules, "tipAfterMs", 0),
            JsonFields.number(rules, "freeResends", 0),
            JsonFields.number(rules, "extraRatio", 0),
            JsonFields.duration(rules, "ratioSpanMs", 0)));
  }

  private static QueryClass tableType(JsonNode service, JsonNode layout, int row)
      throws MalformedInputException {
    return new QueryClass(
        JsonFields.text(service, "name"),
        repeat(JsonFields.text(service, "semantics", "")),
        JsonFields.duration(service, "windowMs", 0),
        JsonFields.duration(service, "onTimeMs", JsonFields.number(service, "deadlineMs", 0)),
        JsonFields.duration(service, "deadlineMs", 0),
        JsonFields.number(service, "lateWorth", 0),
        perRow(layout, "floorByClass", row, 1),
        perRow(layout, "classNeed", row, 1),
        (int) perRow(layout, "secondStep", row, 0));
  }

  private static Idempotency repeat(String semantics) {
    return switch (semantics) {
      case "read_like" -> Idempotency.IDEMPOTENT;
      case "idempotency_key" -> Idempotency.WITH_KEY;
      default -> Idempotency.NON_IDEMPOTENT;
    };
  }

  private static double perRow(JsonNode layout, String field, int row, double absent) {
    JsonNode value = table(layout, field).get(row);
    return value == null || !value.isNumber() ? absent : value.doubleValue();
  }

  private static JsonNode table(JsonNode node, String field) {
    JsonNode value = node.get(field);
    return value == null || value.isNull() ? MissingNode.getInstance() : value;
  }
}
