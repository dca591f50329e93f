package tidebank.testbed.replay;

/**
 * Something that happens to a server or a gatherer in a replay.
 *
 * @param atUs from the start of the replay
 * @param kind what happens
 * @param index which server or gatherer
 */
public record Incident(long atUs, Kind kind, int index) {
  /** What can happen. */
  public enum Kind {
    /** The server takes no more and ends what it has; the roster says so. */
    SERVER_DRAINS,
    /** The server dies, and the roster says nothing yet. */
    SERVER_DIES,
    /** The roster says that it is gone. */
    ROSTER_GONE,
    /** The server is back, cold, and the roster says so. */
    SERVER_BACK,
    /** The server takes parts and answers none. */
    SERVER_SILENT,
    /** It answers again. */
    SERVER_SPEAKS,
    /** The gatherer gets SIGKILL and is started anew. */
    GATHERER_KILLED,
    /** The gatherer gets SIGTERM and is started anew once it has ended. */
    GATHERER_RESTARTED
  }
}
