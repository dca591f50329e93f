package tidebank.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tidebank.config.SettingsReader;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Event.Endpoint;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Outcome;

/**
 * Hands batches to the decisions without the simulator's codec, so that they may hold what its wire
 * has no words for: the end of an instance, discovery that moved, an answer that is none, and a
 * query that waited before it was read. Otherwise batches and replies are worded as on that wire.
 */
final class DirectHost {
  private final ObjectMapper mapper = new ObjectMapper();
  private final Map<Integer, RoutingPolicy> routers = new LinkedHashMap<>();
  private final Map<Integer, List<Endpoint>> pages = new LinkedHashMap<>();

  /** The reply to one batch, both as lines without their ends. */
  String answer(String line) throws IOException {
    JsonNode batch = mapper.readTree(line);
    long now = micros(batch.get("simTimeMs"));
    Map<Integer, List<Event>> told = new LinkedHashMap<>();
    for (JsonNode message : batch.get("msgs")) {
      int router = message.path("who").asInt();
      switch (message.get("kind").textValue()) {
        case "Sheet" -> pages.put(message.get("page").intValue(), page(message.get("items")));
        case "Attach" -> {
          routers.put(
              router,
              new RoutingPolicy(
                  SettingsReader.read(message.get("config")), message.get("salt").longValue()));
          told.put(router, new ArrayList<>());
        }
        case "Retire" -> {
          routers.remove(router);
          told.remove(router);
        }
        default ->
            told.computeIfAbsent(router, absent -> new ArrayList<>()).add(event(message, now));
      }
    }
    List<String> output = new ArrayList<>();
    told.forEach(
        (router, events) ->
            routers.get(router).on(now, events).forEach(a -> output.add(text(router, a))));
    return "{\"output\":[" + String.join(",", output) + "]}";
  }

  private static long micros(JsonNode ms) {
    return Math.round(ms.asDouble() * 1000);
  }

  private static List<Endpoint> page(JsonNode items) {
    List<Endpoint> entries = new ArrayList<>();
    for (JsonNode item : items) {
      EndpointStatus status =
          switch (item.get("status").textValue()) {
            case "in_service" -> EndpointStatus.IN_SERVICE;
            case "terminating" -> EndpointStatus.DRAINING;
            default -> EndpointStatus.GONE;
          };
      entries.add(
          new Endpoint(
              item.get("server").textValue(),
              item.get("slotNo").intValue(),
              status,
              micros(item.get("lastStartMs")),
              item.get("rating").doubleValue()));
    }
    return entries;
  }

  private Event event(JsonNode message, long now) {
    String handle = message.path("handle").asText();
    return switch (message.get("kind").textValue()) {
      case "Announce" -> list(message);
      case "Knock" -> query(message, handle, now);
      case "Returned" ->
          new Event.AttemptCompleted(
              handle,
              message.get("try").intValue(),
              outcome(message.get("disposition").textValue()),
              micros(message.get("costTimeMs")),
              message.path("ended").asBoolean(),
              Map.of());
      case "Lapsed" -> new Event.ClientDisconnected(handle);
      case "DeadlineHit" -> new Event.TimerFired(message.get("label").longValue());
      case "Ending" -> new Event.ShutdownRequested(micros(message.get("atMs")));
      default ->
          new Event.HealthCheckCompleted(
              message.get("server").textValue(),
              outcome(message.get("disposition").textValue()),
              micros(message.get("costTimeMs")),
              Map.of());
    };
  }

  private Event list(JsonNode message) {
    ListUpdate kind =
        switch (message.get("mode").textValue()) {
          case "incr" -> ListUpdate.DELTA;
          case "total" -> ListUpdate.SNAPSHOT;
          case "warm_copy" -> ListUpdate.CACHED;
          case "lost" -> ListUpdate.WATCH_LOST;
          default -> ListUpdate.DISCOVERY_MOVED;
        };
    boolean none = kind == ListUpdate.WATCH_LOST || kind == ListUpdate.DISCOVERY_MOVED;
    return new Event.EndpointListReceived(
        kind, none ? List.of() : pages.get(message.get("page").intValue()));
  }

  private static Event query(JsonNode message, String handle, long now) {
    int shard = message.get("slab").intValue();
    long number = message.get("jobNo").longValue();
    String key = message.path("subject").asText();
    if (shard >= 0) {
      return new Event.ShardRequestReceived(
          handle, number, shard, message.get("measure").doubleValue(), key);
    }
    return new Event.QueryReceived(
        handle,
        number,
        message.get("lane").textValue(),
        "",
        message.has("askedAtMs") ? micros(message.get("askedAtMs")) : now,
        micros(message.get("notAfterMs")),
        message.path("resent").asBoolean(),
        key);
  }

  private static Outcome outcome(String disposition) {
    return switch (disposition) {
      case "success" -> Outcome.COMPLETED;
      case "failure" -> Outcome.ERROR;
      case "overloaded" -> Outcome.OVERLOADED;
      case "timed_out" -> Outcome.TIMED_OUT;
      case "unreachable" -> Outcome.UNREACHABLE;
      case "broken" -> Outcome.CONNECTION_LOST;
      case "spoilt" -> Outcome.PROTOCOL_ERROR;
      case "withdrawn" -> Outcome.CANCELLED;
      case "void" -> Outcome.NOT_SENT;
      default -> throw new IllegalArgumentException(disposition);
    };
  }

  private static String text(int router, Action action) {
    if (action instanceof Action.SendAttempt send) {
      return text("Assign", router, send.shardRequest())
          + quoted("server", send.server())
          + ",\"stopAtMs\":"
          + send.deadline() / 1000.0
          + "}";
    } else if (action instanceof Action.CancelAttempt cancel) {
      return text("CallOff", router, cancel.shardRequest()) + ",\"try\":" + cancel.attempt() + "}";
    } else if (action instanceof Action.Respond answer) {
      return text("WrapUp", router, answer.query()) + ",\"complete\":" + answer.complete() + "}";
    } else if (action instanceof Action.Throttle throttle) {
      return text("Busy", router, throttle.query())
          + ",\"holdOffMs\":"
          + throttle.retryAfterUs() / 1000.0
          + "}";
    } else if (action instanceof Action.Fail abandon) {
      return text("ReportFailure", router, abandon.query()) + "}";
    } else if (action instanceof Action.SetTimer timer) {
      return text("SetTimer", router, null)
          + ",\"waitMs\":"
          + timer.delayUs() / 1000.0
          + ",\"label\":"
          + timer.token()
          + "}";
    } else if (action instanceof Action.RetireConnections close) {
      return text("Disconnect", router, null) + quoted("server", close.server()) + "}";
    } else if (action instanceof Action.WatchEndpoints follow) {
      return text("Follow", router, null) + ",\"complete\":" + follow.enabled() + "}";
    }
    throw new IllegalArgumentException("no words for " + action);
  }

  private static String text(String kind, int router, String handle) {
    return "{\"kind\":\""
        + kind
        + "\",\"who\":"
        + router
        + (handle == null ? "" : quoted("handle", handle));
  }

  private static String quoted(String field, String value) {
    return ",\"" + field + "\":\"" + value + "\"";
  }
}
