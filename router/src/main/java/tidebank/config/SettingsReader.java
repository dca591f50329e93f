package tidebank.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.LinkedHashMap;
import java.util.Map;
import tidebank.model.Repeat;
import tidebank.model.Settings;
import tidebank.model.TableType;

/**
 * Reads an instance's settings. A figure that is absent becomes the one that permits or promises
 * nothing.
 */
public final class SettingsReader {
  private static final double MS_NEVER = 1e12;

  private SettingsReader() {}

  public static Settings read(JsonNode config) throws Malformed {
    JsonNode limits = table(config, "limits");
    JsonNode rules = table(config, "guarantees");
    JsonNode layout = table(config, "specifics");
    Map<String, TableType> types = new LinkedHashMap<>();
    JsonNode services = table(config, "services");
    for (int i = 0; i < services.size(); i++) {
      TableType type = tableType(services.get(i), layout, i);
      types.put(type.name(), type);
    }
    Map<String, Double> allowances = new LinkedHashMap<>();
    for (JsonNode tenant : table(config, "tenants")) {
      double perSecond = Json.number(tenant, "allowancePerS", 0);
      if (perSecond > 0) {
        allowances.put(Json.text(tenant, "name"), perSecond);
      }
    }
    return new Settings(
        Math.max(1, Json.whole(config, "instances", 1)),
        Json.whole(config, "rank", -1),
        Math.max(1, Json.span(config, "tickMs", 1)),
        types,
        allowances,
        Json.number(config, "overShareWorth", 1),
        new Settings.Layout(
            Math.max(0, Json.whole(layout, "slices", 0)),
            Math.max(0, Json.whole(layout, "positions", 0)),
            Math.max(0, Json.whole(layout, "width", 0)),
            Math.max(1, Json.whole(layout, "bundleMax", 1)),
            Json.span(layout, "callMs", 0)),
        new Settings.Limits(
            Math.max(1, Json.whole(limits, "maxAttempts", 1)),
            Json.flag(limits, "secondCopies"),
            Json.flag(limits, "cancel"),
            Json.flag(limits, "mayProbe"),
            Json.flag(limits, "retryAfter"),
            Json.span(limits, "maxRetryAfterMs", 0),
            Json.whole(limits, "mostHeld", Integer.MAX_VALUE),
            Json.text(config, "discovery", "push").equals("ask")),
        new Settings.Rules(
            Json.span(rules, "answerSlackMs", 0),
            Json.span(rules, "askEveryMs", MS_NEVER),
            Json.span(rules, "stopSendingWithinMs", 0),
            Json.number(rules, "coldFrom", 0),
            Json.span(rules, "coldMs", 0),
            Json.number(rules, "fallMultiple", 1),
            Json.span(rules, "tipAfterMs", 0),
            Json.number(rules, "freeResends", 0),
            Json.number(rules, "extraRatio", 0),
            Json.span(rules, "ratioSpanMs", 0)));
  }

  private static TableType tableType(JsonNode service, JsonNode layout, int row) throws Malformed {
    return new TableType(
        Json.text(service, "name"),
        repeat(Json.text(service, "semantics", "")),
        Json.span(service, "windowMs", 0),
        Json.span(service, "onTimeMs", Json.number(service, "deadlineMs", 0)),
        Json.span(service, "deadlineMs", 0),
        Json.number(service, "lateWorth", 0),
        perRow(layout, "floorByClass", row, 1),
        perRow(layout, "classNeed", row, 1),
        (int) perRow(layout, "secondStep", row, 0));
  }

  private static Repeat repeat(String semantics) {
    return switch (semantics) {
      case "read_like" -> Repeat.REPLAYABLE;
      case "idempotency_key" -> Repeat.KEYED;
      default -> Repeat.NON_REPLAYABLE;
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
