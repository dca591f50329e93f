package tidebank.simulation;

/**
 * The field names and message kinds of the simulator protocol. Each message is a JSON object. Its
 * field {@link #KIND} holds one of {@link EventKind} (simulator to host) or {@link ActionKind}
 * (host to simulator).
 */
final class SimulatorProtocol {
  // Fields of a batch.
  static final String TIME_MS = "simTimeMs";
  static final String MESSAGES = "msgs";
  static final String OUTPUT = "output";

  // Fields of several messages.
  static final String KIND = "kind";
  static final String INSTANCE = "who";
  static final String HANDLE = "handle";
  static final String SERVER = "server";
  static final String ATTEMPT = "try";
  static final String OUTCOME = "disposition";
  static final String DURATION_MS = "costTimeMs";
  static final String LOAD_REPORT = "metrics";
  static final String TIMER_TOKEN = "label";
  static final String PAGE = "page";

  /**
   * In {@link ActionKind#RESPOND}, whether the answer is complete; in {@link
   * ActionKind#WATCH_ENDPOINTS}, whether the watch is enabled.
   */
  static final String COMPLETE = "complete";

  // Fields of Attach.
  static final String SEED = "salt";
  static final String SETTINGS = "config";

  // Fields of Sheet and of its items.
  static final String ENDPOINTS = "items";
  static final String POSITION = "slotNo";
  static final String STATUS = "status";
  static final String STARTED_MS = "lastStartMs";
  static final String CAPACITY = "rating";

  // Fields of Announce.
  static final String LIST_UPDATE = "mode";

  // Fields of Knock.
  static final String QUERY_NUMBER = "jobNo";
  static final String SHARD = "slab";
  static final String WEIGHT = "measure";
  static final String KEY = "subject";
  static final String QUERY_CLASS = "lane";
  static final String TENANT = "account";
  static final String DEADLINE_MS = "notAfterMs";
  static final String CLIENT_RETRY = "resent";

  // Fields of Returned.
  static final String REQUEST_CLOSED = "ended";

  // Fields of actions.
  static final String STOP_AT_MS = "stopAtMs";
  static final String RETRY_AFTER_MS = "holdOffMs";
  static final String DELAY_MS = "waitMs";
  static final String NOTE = "noteText";

  private SimulatorProtocol() {}

  /** Kinds of messages from the simulator. */
  static final class EventKind {
    static final String ATTACH = "Attach";
    static final String RETIRE = "Retire";
    static final String ENDPOINT_PAGE = "Sheet";
    static final String ENDPOINT_LIST = "Announce";

    /** A shard request, or a query if its shard number is negative. */
    static final String REQUEST = "Knock";

    static final String ATTEMPT_COMPLETED = "Returned";
    static final String CLIENT_DISCONNECTED = "Lapsed";
    static final String TIMER_FIRED = "DeadlineHit";
    static final String HEALTH_CHECK_COMPLETED = "HealthResult";

    private EventKind() {}
  }

  /** Kinds of messages to the simulator. */
  static final class ActionKind {
    static final String SEND_ATTEMPT = "Assign";
    static final String CANCEL_ATTEMPT = "CallOff";
    static final String RESPOND = "WrapUp";
    static final String THROTTLE = "Busy";
    static final String FAIL = "ReportFailure";
    static final String SET_TIMER = "SetTimer";
    static final String CHECK_HEALTH = "Touch";
    static final String RETIRE_CONNECTIONS = "Disconnect";
    static final String WATCH_ENDPOINTS = "Follow";
    static final String LOG_NOTE = "Trace";
    static final String INSTANCE_FAILED = "BailOut";

    private ActionKind() {}
  }
}
