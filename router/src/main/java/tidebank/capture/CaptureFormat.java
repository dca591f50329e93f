package tidebank.capture;

/**
 * Numbers of the capture format, shared by the encoder and the decoder. A number that was ever
 * written keeps its meaning; new kinds get new numbers.
 *
 * <p>The enums {@code Outcome}, {@code ListUpdate} and {@code EndpointStatus} are stored by
 * ordinal, so their constants keep their order and new ones go to the end.
 */
final class CaptureFormat {
  /** Bytes of the length in front of the content of each record, event and action. */
  static final int LENGTH_BYTES = 4;

  /** Code of a null string. */
  static final long STRING_NULL = 1;

  /** Code of a string that is new in its block; its length and its bytes follow. */
  static final long STRING_NEW = 0;

  /** Code of the first string of a block; later strings count up from here. */
  static final long STRING_FIRST_KNOWN = 2;

  /** Most bytes of one string. */
  static final int MAX_STRING_BYTES = 1 << 16;

  /** Most elements of one list. */
  static final int MAX_COUNT = 1 << 22;

  private CaptureFormat() {}

  /** Kinds of {@link CaptureRecord}. */
  static final class RecordKind {
    static final int POLICY_STARTED = 1;
    static final int DECISION_ROUND = 2;
    static final int ROUND_FAILED = 3;
    static final int GAP = 4;

    private RecordKind() {}
  }

  /** Kinds of {@link tidebank.model.Event}. */
  static final class EventKind {
    static final int ENDPOINT_LIST_RECEIVED = 1;
    static final int QUERY_RECEIVED = 2;
    static final int SHARD_REQUEST_RECEIVED = 3;
    static final int ATTEMPT_COMPLETED = 4;
    static final int CLIENT_DISCONNECTED = 5;
    static final int SHUTDOWN_REQUESTED = 6;
    static final int TIMER_FIRED = 7;
    static final int HEALTH_CHECK_COMPLETED = 8;

    /** One line of an endpoint list. */
    static final int ENDPOINT = 0;

    private EventKind() {}
  }

  /** Kinds of {@link tidebank.model.Action}. */
  static final class ActionKind {
    static final int SEND_ATTEMPT = 1;
    static final int CANCEL_ATTEMPT = 2;
    static final int RESPOND = 3;
    static final int THROTTLE = 4;
    static final int FAIL = 5;
    static final int SET_TIMER = 6;
    static final int CHECK_HEALTH = 7;
    static final int RETIRE_CONNECTIONS = 8;
    static final int WATCH_ENDPOINTS = 9;
    static final int LOG_NOTE = 10;

    private ActionKind() {}
  }
}
