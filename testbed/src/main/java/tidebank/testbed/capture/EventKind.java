package tidebank.testbed.capture;

import tidebank.model.Event;

/**
 * The names of the kinds of events in the output of commands on captures, and in their filters.
 * They differ from the current names of the event types and must not change, because scripts depend
 * on them.
 */
public final class EventKind {
  /** The name of {@link Event.QueryReceived}. */
  public static final String QUERY_RECEIVED = "ScanTaken";

  private EventKind() {}

  /** Returns the name of the kind of an event. */
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
    throw new IllegalStateException("event has no kind name: " + event);
  }

  /** Returns whether an event is of a kind, given by its name here or by its type; ignores case. */
  public static boolean matches(Event event, String kind) {
    return of(event).equalsIgnoreCase(kind)
        || event.getClass().getSimpleName().equalsIgnoreCase(kind);
  }
}
