package tidebank.capture;

/**
 * Constants of the capture format, shared by the encoder and the decoder. Existing values never
 * change their meaning, so that stored captures remain readable; new kinds get new numbers.
 *
 * <p>The enums {@code Outcome}, {@code ListUpdate} and {@code EndpointStatus} are stored by
 * ordinal: keep the order of their constants and append new ones.
 */
final class CaptureFormat {
  /** Size in bytes of the length field of a frame, which precedes the content. */
  static final int LENGTH_BYTES = 4;

  /** Code of a null string. */
  static final long STRING_NULL = 1;

  /** Code of the first occurrence of a string in a block; its length and bytes follow. */
  static final long STRING_NEW = 0;

  /** Code of a repeated string is this value plus its index in the block, counted from 0. */
  static final long STRING_FIRST_KNOWN = 2;

  /** Maximum size of a string, in bytes. */
  static final int MAX_STRING_BYTES = 1 << 16;

  /** Maximum number of elements of a list. */
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

    /** An endpoint in an endpoint list; not an event. */
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
