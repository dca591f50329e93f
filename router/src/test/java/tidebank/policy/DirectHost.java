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
 * Passes batches to routing policies without the codec of the simulator's wire protocol. Batches
 * may therefore contain events that this protocol lacks: the shutdown of a router, a new address of
 * discovery, a protocol error, and a query that waited before it was read. Otherwise batches and
 * replies have the format of the protocol.
 */
final class DirectHost {
  private final ObjectMapper mapper = new ObjectMapper();
  private final Map<Integer, RoutingPolicy> policies = new LinkedHashMap<>();
  private final Map<Integer, List<Endpoint>> endpointsByPage = new LinkedHashMap<>();

  /** Returns the reply to a batch, both as lines without a line break. */
  String process(String line) throws IOException {
    JsonNode batch = mapper.readTree(line);
    long now = toMicros(batch.get("simTimeMs"));
    Map<Integer, List<Event>> eventsByRouter = new LinkedHashMap<>();
    for (JsonNode message : batch.get("msgs")) {
      int router = message.path("who").asInt();
      switch (message.get("kind").textValue()) {
        case "Sheet" ->
            endpointsByPage.put(message.get("page").intValue(), endpoints(message.get("items")));
        case "Attach" -> {
          policies.put(
              router,
              new RoutingPolicy(
                  SettingsReader.read(message.get("config")), message.get("salt").longValue()));
          eventsByRouter.put(router, new ArrayList<>());
        }
        case "Retire" -> {
          policies.remove(router);
          eventsByRouter.remove(router);
        }
        default ->
            eventsByRouter
                .computeIfAbsent(router, absent -> new ArrayList<>())
                .add(event(message, now));
      }
    }
    List<String> output = new ArrayList<>();
    eventsByRouter.forEach(
        (router, events) ->
            policies.get(router).runRound(now, events).forEach(a -> output.add(toJson(router, a))));
    return "{\"output\":[" + String.join(",", output) + "]}";
  }

  private static long toMicros(JsonNode ms) {
    return Math.round(ms.asDouble() * 1000);
  }

  private static List<Endpoint> endpoints(JsonNode items) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (JsonNode item : items) {
      EndpointStatus status =
          switch (item.get("status").textValue()) {
            case "in_service" -> EndpointStatus.IN_SERVICE;
            case "terminating" -> EndpointStatus.DRAINING;
            default -> EndpointStatus.GONE;
          };
      endpoints.add(
          new Endpoint(
              item.get("server").textValue(),
              item.get("slotNo").intValue(),
              status,
              toMicros(item.get("lastStartMs")),
              item.get("rating").doubleValue()));
    }
    return endpoints;
  }

  private Event event(JsonNode message, long now) {
    String handle = message.path("handle").asText();
    return switch (message.get("kind").textValue()) {
      case "Announce" -> endpointList(message);
      case "Knock" -> query(message, handle, now);
      case "Returned" ->
          new Event.AttemptCompleted(
              handle,
              message.get("try").intValue(),
              outcome(message.get("disposition").textValue()),
              toMicros(message.get("costTimeMs")),
              message.path("ended").asBoolean(),
              Map.of());
      case "Lapsed" -> new Event.ClientDisconnected(handle);
      case "DeadlineHit" -> new Event.TimerFired(message.get("label").longValue());
      case "Ending" -> new Event.ShutdownRequested(toMicros(message.get("atMs")));
      default ->
          new Event.HealthCheckCompleted(
              message.get("server").textValue(),
              outcome(message.get("disposition").textValue()),
              toMicros(message.get("costTimeMs")),
              Map.of());
    };
  }

  private Event endpointList(JsonNode message) {
    ListUpdate update =
        switch (message.get("mode").textValue()) {
          case "incr" -> ListUpdate.DELTA;
          case "total" -> ListUpdate.SNAPSHOT;
          case "warm_copy" -> ListUpdate.CACHED;
          case "lost" -> ListUpdate.WATCH_LOST;
          default -> ListUpdate.DISCOVERY_MOVED;
        };
    boolean isEmpty = update == ListUpdate.WATCH_LOST || update == ListUpdate.DISCOVERY_MOVED;
    return new Event.EndpointListReceived(
        update, isEmpty ? List.of() : endpointsByPage.get(message.get("page").intValue()));
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
        message.has("askedAtMs") ? toMicros(message.get("askedAtMs")) : now,
        toMicros(message.get("notAfterMs")),
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
      default -> throw new IllegalArgumentException("unknown disposition: " + disposition);
    };
  }

  private static String toJson(int router, Action action) {
    if (action instanceof Action.SendAttempt send) {
      return openJson("Assign", router, send.shardRequest())
          + jsonField("server", send.server())
          + ",\"stopAtMs\":"
          + send.deadline() / 1000.0
          + "}";
    } else if (action instanceof Action.CancelAttempt cancel) {
      return openJson("CallOff", router, cancel.shardRequest())
          + ",\"try\":"
          + cancel.attempt()
          + "}";
    } else if (action instanceof Action.Respond respond) {
      return openJson("WrapUp", router, respond.query())
          + ",\"complete\":"
          + respond.complete()
          + "}";
    } else if (action instanceof Action.Throttle throttle) {
      return openJson("Busy", router, throttle.query())
          + ",\"holdOffMs\":"
          + throttle.retryAfterUs() / 1000.0
          + "}";
    } else if (action instanceof Action.Fail fail) {
      return openJson("ReportFailure", router, fail.query()) + "}";
    } else if (action instanceof Action.SetTimer timer) {
      return openJson("SetTimer", router, null)
          + ",\"waitMs\":"
          + timer.delayUs() / 1000.0
          + ",\"label\":"
          + timer.token()
          + "}";
    } else if (action instanceof Action.RetireConnections retire) {
      return openJson("Disconnect", router, null) + jsonField("server", retire.server()) + "}";
    } else if (action instanceof Action.WatchEndpoints watch) {
      return openJson("Follow", router, null) + ",\"complete\":" + watch.enabled() + "}";
    }
    throw new IllegalArgumentException("action without a wire format: " + action);
  }

  private static String openJson(String kind, int router, String handle) {
    return "{\"kind\":\""
        + kind
        + "\",\"who\":"
        + router
        + (handle == null ? "" : jsonField("handle", handle));
  }

  private static String jsonField(String field, String value) {
    return ",\"" + field + "\":\"" + value + "\"";
  }
}
