package tidebank.frontend;

import io.netty.channel.Channel;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.runtime.QueryRequest;

/**
 * The log of one client connection: its requests by their ids, with the times that tell why one
 * ended as it did, and why the connection was closed. What is usual is logged at debug level; a
 * request that ended behind its client's time at info level. All of it is counted.
 */
final class RequestTrace {
  private static final Logger LOG = LoggerFactory.getLogger(RequestTrace.class);

  private final ClientServer side;
  private final Channel channel;
  private final long connectedAt;
  private long readAt;
  private int requests;

  RequestTrace(ClientServer side, Channel channel) {
    this.side = side;
    this.channel = channel;
    this.connectedAt = side.clock.now();
  }

  /** A request was read whole, whatever it asks for. */
  void read() {
    readAt = side.clock.now();
    requests++;
  }

  /** A scan was taken from a request. */
  void taken(QueryRequest scan) {
    side.counters.add("scans.taken");
    if (LOG.isDebugEnabled()) {
      LOG.debug("request taken: {}", timesOf(scan, side.clock.now()));
    }
  }

  /** The final answer of a scan is to be written; one behind the client's time is lost on it. */
  void answered(QueryRequest scan, int status) {
    long now = side.clock.now();
    if (now >= scan.deadline()) {
      side.counters.add("front.answered-late");
      LOG.info("answer {} behind its client's time: {}", status, timesOf(scan, now));
    } else if (LOG.isDebugEnabled()) {
      LOG.debug("answer {}: {}", status, timesOf(scan, now));
    }
  }

  /** A client left without its answer: early by its own will, or behind its time by our fault. */
  void left(QueryRequest scan) {
    long now = side.clock.now();
    if (now >= scan.deadline()) {
      side.counters.add("front.left-unanswered");
      LOG.info("client left without an answer in its time: {}", timesOf(scan, now));
    } else {
      side.counters.add("front.left-early");
      if (LOG.isDebugEnabled()) {
        LOG.debug("client left early: {}", timesOf(scan, now));
      }
    }
  }

  /** The connection is closed by this side. */
  void closed(String why, int waiting, boolean unfinished) {
    if (LOG.isDebugEnabled()) {
      LOG.debug("client connection closed, {}: {}", why, stateOf(waiting, unfinished));
    }
  }

  /** The client ended the connection; worth a line where something was under way or never came. */
  void ended(int waiting, boolean unfinished) {
    if (LOG.isDebugEnabled() && (waiting > 0 || unfinished || requests == 0)) {
      LOG.debug("client ended its connection: {}", stateOf(waiting, unfinished));
    }
  }

  private String stateOf(int waiting, boolean unfinished) {
    return String.format(
        Locale.ROOT,
        "peer=%s age_ms=%d requests=%d waiting=%d unfinished=%b",
        channel.remoteAddress(),
        (side.clock.now() - connectedAt) / 1000,
        requests,
        waiting,
        unfinished);
  }

  private String timesOf(QueryRequest scan, long now) {
    return String.format(
        Locale.ROOT,
        "id=%s age_ms=%d left_ms=%d connection_age_ms=%d read_ms_ago=%d requests=%d %s",
        scan.id(),
        (now - scan.receivedAt()) / 1000,
        (scan.deadline() - now) / 1000,
        (now - connectedAt) / 1000,
        (now - readAt) / 1000,
        requests,
        side.driver.attemptCount(scan.id()));
  }
}
