package tidebank.testbed.capture;

import tidebank.model.Event;

/**
 * Words for the kinds of events, as captures are described in JSON and filtered by. They are older
 * than the names of the types and stay as they are, so that scripts go on working.
 */
public final class EventKind {
  /** The kind of an event that says that a query was received. */
  public static final String QUERY_RECEIVED = "ScanTaken";

  private EventKind() {}

  /** Returns the word for the kind of this event. */
  public static String of(Event event) {
    if (event instanceof Event.EndpointListReceived) {
      return "ListSeen";
    } else if (event instanceof Event.QueryReceived) {
      return QUERY_RECEIVED;
    } else if (event instanceof Event.ShardRequestReceived) {
      return "PartTaken";
    } else if (event instanceof Event.AttemptCompleted) {
      return "DispatchEnded";
    } else if (event instanceof Event.ClientDisconnected) {
      return "ScanLapsed";
    } else if (event instanceof Event.ShutdownRequested) {
      return "Ending";
    } else if (event instanceof Event.TimerFired) {
      return "TimerDue";
    } else if (event instanceof Event.HealthCheckCompleted) {
      return "Probed";
    }
    throw new IllegalStateException("no word for " + event);
  }

  /** Returns whether an event is of a kind, given by its word or the name of its type. */
  public static boolean matches(Event event, String kind) {
    return of(event).equalsIgnoreCase(kind)
        || event.getClass().getSimpleName().equalsIgnoreCase(kind);
  }
}
