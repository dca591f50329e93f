package tidebank.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import tidebank.config.JsonFields;
import tidebank.config.MalformedInputException;
import tidebank.model.Event;
import tidebank.model.Event.Endpoint;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Outcome;

/** Turns the wire's events into the module's. */
final class EventCodec {
  private EventCodec() {}

  /**
   * The event, of a message that comes at {@code now}, or null where the wire's event means nothing
   * to the module.
   */
  static Event read(JsonNode message, long now, List<List<Endpoint>> sheets)
      throws MalformedInputException {
    return switch (JsonFields.text(message, "kind")) {
      case "Announce" -> announce(message, sheets);
      case "Knock" -> knock(message, now);
      case "Returned" ->
          new Event.AttemptCompleted(
              JsonFields.text(message, "handle"),
              (int) JsonFields.integer(message, "try"),
              outcome(JsonFields.text(message, "disposition")),
              JsonFields.micros(message, "costTimeMs", 0),
              JsonFields.flag(message, "ended"),
              JsonFields.numbers(message.get("metrics")));
      case "Lapsed" -> new Event.ClientDisconnected(JsonFields.text(message, "handle"));
      case "DeadlineHit" -> new Event.TimerFired(JsonFields.integer(message, "label"));
      case "HealthResult" ->
          new Event.HealthCheckCompleted(
              JsonFields.text(message, "server"),
              outcome(JsonFields.text(message, "disposition")),
              JsonFields.micros(message, "costTimeMs", 0),
              JsonFields.numbers(message.get("metrics")));
      default -> null;
    };
  }

  static List<Endpoint> sheet(JsonNode message) throws MalformedInputException {
    List<Endpoint> entries = new ArrayList<>();
    for (JsonNode entry : JsonFields.required(message, "items")) {
      entries.add(
          new Endpoint(
              JsonFields.text(entry, "server"),
              (int) JsonFields.integer(entry, "slotNo"),
              status(JsonFields.text(entry, "status")),
              JsonFields.micros(entry, "lastStartMs", 0),
              JsonFields.number(entry, "rating", 1)));
    }
    return entries;
  }

  private static Event announce(JsonNode message, List<List<Endpoint>> sheets)
      throws MalformedInputException {
    ListUpdate kind =
        switch (JsonFields.text(message, "mode")) {
          case "incr" -> ListUpdate.DELTA;
          case "total" -> ListUpdate.SNAPSHOT;
          case "warm_copy" -> ListUpdate.CACHED;
          case "lost" -> ListUpdate.WATCH_LOST;
          default ->
              throw new MalformedInputException(
                  "unknown list mode '" + JsonFields.text(message, "mode") + "'");
        };
    if (kind == ListUpdate.WATCH_LOST) {
      return new Event.EndpointListReceived(kind, List.of());
    }
    long page = JsonFields.integer(message, "page");
    if (page < 0 || page >= sheets.size() || sheets.get((int) page) == null) {
      throw new MalformedInputException("list page " + page + " was never sent");
    }
    return new Event.EndpointListReceived(kind, sheets.get((int) page));
  }

  private static Event knock(JsonNode message, long now) throws MalformedInputException {
    int shard = (int) JsonFields.integer(message, "slab");
    String id = JsonFields.text(message, "handle");
    long number = JsonFields.integer(message, "jobNo");
    if (shard >= 0) {
      return new Event.ShardRequestReceived(
          id,
          number,
          shard,
          JsonFields.number(message, "measure", 0),
          JsonFields.text(message, "subject", ""));
    }
    return new Event.QueryReceived(
        id,
        number,
        JsonFields.text(message, "lane"),
        JsonFields.text(message, "account", ""),
        now,
        JsonFields.micros(message, "notAfterMs"),
        JsonFields.flag(message, "resent"),
        JsonFields.text(message, "subject", ""));
  }

  private static Outcome outcome(String disposition) throws MalformedInputException {
    return switch (disposition) {
      case "success" -> Outcome.COMPLETED;
      case "failure" -> Outcome.ERROR;
      case "overloaded" -> Outcome.OVERLOADED;
      case "timed_out" -> Outcome.TIMED_OUT;
      case "unreachable" -> Outcome.UNREACHABLE;
      case "broken" -> Outcome.CONNECTION_LOST;
      case "withdrawn" -> Outcome.CANCELLED;
      case "void" -> Outcome.NOT_SENT;
      default -> throw new MalformedInputException("unknown outcome '" + disposition + "'");
    };
  }

  private static EndpointStatus status(String status) throws MalformedInputException {
    return switch (status) {
      case "in_service" -> EndpointStatus.IN_SERVICE;
      case "terminating" -> EndpointStatus.DRAINING;
      case "terminated" -> EndpointStatus.GONE;
      default -> throw new MalformedInputException("unknown server status '" + status + "'");
    };
  }
}
