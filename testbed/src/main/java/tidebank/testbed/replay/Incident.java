package tidebank.testbed.replay;

/**
 * An incident that a replay injects into a shard server, discovery or a router.
 *
 * @param atUs when it is injected, in microseconds from the start of the replay
 * @param kind the kind of incident
 * @param number the index of the server or router, from 0
 */
public record Incident(long atUs, Kind kind, int number) {
  /** The kinds of incidents. */
  public enum Kind {
    /** The server rejects new requests and completes those it has; discovery reports it. */
    SERVER_DRAINS,
    /** The server fails, and discovery does not report it yet. */
    SERVER_DIES,
    /** Discovery reports the server as gone. */
    ROSTER_GONE,
    /** The server is back and in slow start, and discovery reports it as ready. */
    SERVER_BACK,
    /** The server accepts shard requests and sends no responses. */
    SERVER_SILENT,
    /** The silent server sends responses again. */
    SERVER_SPEAKS,
    /** The router gets SIGKILL and is started again. */
    GATHERER_KILLED,
    /** The router gets SIGTERM and is started again after it has ended. */
    GATHERER_RESTARTED
  }
}
