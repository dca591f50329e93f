package tidebank.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import tidebank.config.JsonFields;
import tidebank.config.MalformedInputException;
import tidebank.model.Event;
import tidebank.model.Event.Endpoint;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Outcome;
import tidebank.simulation.SimulatorProtocol.EventKind;

/** Reads messages from the simulator as events of the routing policy. */
final class EventReader {
  private EventReader() {}

  /**
   * Reads one event.
   *
   * @param now the time of the batch, in microseconds
   * @param pages the endpoint lists received so far, by page number; null for a page not received
   * @return the event, or empty if the policy has no event for this kind of message
   * @throws MalformedInputException if a field is missing or invalid
   */
  static Optional<Event> read(JsonNode message, long now, List<List<Endpoint>> pages)
      throws MalformedInputException {
    return switch (JsonFields.text(message, SimulatorProtocol.KIND)) {
      case EventKind.ENDPOINT_LIST -> Optional.of(readEndpointList(message, pages));
      case EventKind.REQUEST -> Optional.of(readRequest(message, now));
      case EventKind.ATTEMPT_COMPLETED -> Optional.of(readAttemptCompleted(message));
      case EventKind.CLIENT_DISCONNECTED ->
          Optional.of(
              new Event.ClientDisconnected(JsonFields.text(message, SimulatorProtocol.HANDLE)));
      case EventKind.TIMER_FIRED ->
          Optional.of(
              new Event.TimerFired(JsonFields.integer(message, SimulatorProtocol.TIMER_TOKEN)));
      case EventKind.HEALTH_CHECK_COMPLETED -> Optional.of(readHealthCheckCompleted(message));
      default -> Optional.empty();
    };
  }

  /**
   * Reads the endpoints of one page.
   *
   * @throws MalformedInputException if a field is missing or invalid
   */
  static List<Endpoint> readPage(JsonNode message) throws MalformedInputException {
    List<Endpoint> endpoints = new ArrayList<>();
    for (JsonNode item : JsonFields.requiredField(message, SimulatorProtocol.ENDPOINTS)) {
      endpoints.add(
          new Endpoint(
              JsonFields.text(item, SimulatorProtocol.SERVER),
              (int) JsonFields.integer(item, SimulatorProtocol.POSITION),
              status(JsonFields.text(item, SimulatorProtocol.STATUS)),
              JsonFields.micros(item, SimulatorProtocol.STARTED_MS, 0),
              JsonFields.number(item, SimulatorProtocol.CAPACITY, 1)));
    }
    return endpoints;
  }

  private static Event readEndpointList(JsonNode message, List<List<Endpoint>> pages)
      throws MalformedInputException {
    ListUpdate update = listUpdate(JsonFields.text(message, SimulatorProtocol.LIST_UPDATE));
    if (update == ListUpdate.WATCH_LOST) {
      return new Event.EndpointListReceived(update, List.of());
    }
    long page = JsonFields.integer(message, SimulatorProtocol.PAGE);
    if (page < 0 || page >= pages.size() || pages.get((int) page) == null) {
      throw new MalformedInputException("endpoint list page " + page + " was never sent");
    }
    return new Event.EndpointListReceived(update, pages.get((int) page));
  }

  /** Reads a shard request, or a query if the shard number is negative. */
  private static Event readRequest(JsonNode message, long now) throws MalformedInputException {
    int shard = (int) JsonFields.integer(message, SimulatorProtocol.SHARD);
    String id = JsonFields.text(message, SimulatorProtocol.HANDLE);
    long queryNumber = JsonFields.integer(message, SimulatorProtocol.QUERY_NUMBER);
    if (shard >= 0) {
      return new Event.ShardRequestReceived(
          id,
          queryNumber,
          shard,
          JsonFields.number(message, SimulatorProtocol.WEIGHT, 0),
          JsonFields.text(message, SimulatorProtocol.KEY, ""));
    }
    return new Event.QueryReceived(
        id,
        queryNumber,
        JsonFields.text(message, SimulatorProtocol.QUERY_CLASS),
        JsonFields.text(message, SimulatorProtocol.TENANT, ""),
        now,
        JsonFields.micros(message, SimulatorProtocol.DEADLINE_MS),
        JsonFields.flag(message, SimulatorProtocol.CLIENT_RETRY),
        JsonFields.text(message, SimulatorProtocol.KEY, ""));
  }

  private static Event readAttemptCompleted(JsonNode message) throws MalformedInputException {
    return new Event.AttemptCompleted(
        JsonFields.text(message, SimulatorProtocol.HANDLE),
        (int) JsonFields.integer(message, SimulatorProtocol.ATTEMPT),
        outcome(JsonFields.text(message, SimulatorProtocol.OUTCOME)),
        JsonFields.micros(message, SimulatorProtocol.DURATION_MS, 0),
        JsonFields.flag(message, SimulatorProtocol.REQUEST_CLOSED),
        JsonFields.numbers(message.get(SimulatorProtocol.LOAD_REPORT)));
  }

  private static Event readHealthCheckCompleted(JsonNode message) throws MalformedInputException {
    return new Event.HealthCheckCompleted(
        JsonFields.text(message, SimulatorProtocol.SERVER),
        outcome(JsonFields.text(message, SimulatorProtocol.OUTCOME)),
        JsonFields.micros(message, SimulatorProtocol.DURATION_MS, 0),
        JsonFields.numbers(message.get(SimulatorProtocol.LOAD_REPORT)));
  }

  private static ListUpdate listUpdate(String value) throws MalformedInputException {
    return switch (value) {
      case "incr" -> ListUpdate.DELTA;
      case "total" -> ListUpdate.SNAPSHOT;
      case "warm_copy" -> ListUpdate.CACHED;
      case "lost" -> ListUpdate.WATCH_LOST;
      default -> throw new MalformedInputException("unknown endpoint list mode '" + value + "'");
    };
  }

  private static Outcome outcome(String value) throws MalformedInputException {
    return switch (value) {
      case "success" -> Outcome.COMPLETED;
      case "failure" -> Outcome.ERROR;
      case "overloaded" -> Outcome.OVERLOADED;
      case "timed_out" -> Outcome.TIMED_OUT;
      case "unreachable" -> Outcome.UNREACHABLE;
      case "broken" -> Outcome.CONNECTION_LOST;
      case "withdrawn" -> Outcome.CANCELLED;
      case "void" -> Outcome.NOT_SENT;
      default -> throw new MalformedInputException("unknown outcome '" + value + "'");
    };
  }

  private static EndpointStatus status(String value) throws MalformedInputException {
    return switch (value) {
      case "in_service" -> EndpointStatus.IN_SERVICE;
      case "terminating" -> EndpointStatus.DRAINING;
      case "terminated" -> EndpointStatus.GONE;
      default -> throw new MalformedInputException("unknown server status '" + value + "'");
    };
  }
}
