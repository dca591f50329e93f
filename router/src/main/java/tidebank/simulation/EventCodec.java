package tidebank.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import tidebank.config.Json;
import tidebank.config.Malformed;
import tidebank.model.Event;
import tidebank.model.Event.ListKind;
import tidebank.model.Event.Listed;
import tidebank.model.Event.ServerStatus;
import tidebank.model.Outcome;

/** Turns the wire's events into the module's. */
final class EventCodec {
  private EventCodec() {}

  /**
   * The event, of a message that comes at {@code now}, or null where the wire's event means nothing
   * to the module.
   */
  static Event read(JsonNode message, long now, List<List<Listed>> sheets) throws Malformed {
    return switch (Json.text(message, "kind")) {
      case "Announce" -> announce(message, sheets);
      case "Knock" -> knock(message, now);
      case "Returned" ->
          new Event.DispatchEnded(
              Json.text(message, "handle"),
              (int) Json.whole(message, "try"),
              outcome(Json.text(message, "disposition")),
              Json.micros(message, "costTimeMs", 0),
              Json.flag(message, "ended"),
              Json.numbers(message.get("metrics")));
      case "Lapsed" -> new Event.ScanLapsed(Json.text(message, "handle"));
      case "DeadlineHit" -> new Event.TimerDue(Json.whole(message, "label"));
      case "HealthResult" ->
          new Event.Probed(
              Json.text(message, "server"),
              outcome(Json.text(message, "disposition")),
              Json.micros(message, "costTimeMs", 0),
              Json.numbers(message.get("metrics")));
      default -> null;
    };
  }

  static List<Listed> sheet(JsonNode message) throws Malformed {
    List<Listed> entries = new ArrayList<>();
    for (JsonNode entry : Json.need(message, "items")) {
      entries.add(
          new Listed(
              Json.text(entry, "server"),
              (int) Json.whole(entry, "slotNo"),
              status(Json.text(entry, "status")),
              Json.micros(entry, "lastStartMs", 0),
              Json.number(entry, "rating", 1)));
    }
    return entries;
  }

  private static Event announce(JsonNode message, List<List<Listed>> sheets) throws Malformed {
    ListKind kind =
        switch (Json.text(message, "mode")) {
          case "incr" -> ListKind.CHANGES;
          case "total" -> ListKind.FULL;
          case "warm_copy" -> ListKind.REMEMBERED;
          case "lost" -> ListKind.LOST;
          default -> throw new Malformed("unknown list mode '" + Json.text(message, "mode") + "'");
        };
    if (kind == ListKind.LOST) {
      return new Event.ListSeen(kind, List.of());
    }
    long page = Json.whole(message, "page");
    if (page < 0 || page >= sheets.size() || sheets.get((int) page) == null) {
      throw new Malformed("list page " + page + " was never sent");
    }
    return new Event.ListSeen(kind, sheets.get((int) page));
  }

  private static Event knock(JsonNode message, long now) throws Malformed {
    int shard = (int) Json.whole(message, "slab");
    String id = Json.text(message, "handle");
    long number = Json.whole(message, "jobNo");
    if (shard >= 0) {
      return new Event.PartTaken(
          id, number, shard, Json.number(message, "measure", 0), Json.text(message, "subject", ""));
    }
    return new Event.ScanTaken(
        id,
        number,
        Json.text(message, "lane"),
        Json.text(message, "account", ""),
        now,
        Json.micros(message, "notAfterMs"),
        Json.flag(message, "resent"),
        Json.text(message, "subject", ""));
  }

  private static Outcome outcome(String disposition) throws Malformed {
    return switch (disposition) {
      case "success" -> Outcome.COMPLETED;
      case "failure" -> Outcome.ERROR;
      case "overloaded" -> Outcome.FULL;
      case "timed_out" -> Outcome.TIMED_OUT;
      case "unreachable" -> Outcome.UNREACHABLE;
      case "broken" -> Outcome.BROKEN;
      case "withdrawn" -> Outcome.CANCELLED;
      case "void" -> Outcome.NEVER_SENT;
      default -> throw new Malformed("unknown outcome '" + disposition + "'");
    };
  }

  private static ServerStatus status(String status) throws Malformed {
    return switch (status) {
      case "in_service" -> ServerStatus.IN_SERVICE;
      case "terminating" -> ServerStatus.DRAINING;
      case "terminated" -> ServerStatus.GONE;
      default -> throw new Malformed("unknown server status '" + status + "'");
    };
  }
}
