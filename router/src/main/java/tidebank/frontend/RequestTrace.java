package tidebank.frontend;

import io.netty.channel.Channel;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.runtime.QueryRequest;

/**
 * Logs and counts what became of the requests of one connection, with the times that explain it.
 * The usual is logged at debug level, a request that missed its deadline at info level.
 */
final class RequestTrace {
  private static final Logger LOG = LoggerFactory.getLogger(RequestTrace.class);

  private final FrontendContext context;
  private final Channel channel;
  private final long connectedAt;
  private long lastReadAt;
  private int requests;

  RequestTrace(FrontendContext context, Channel channel) {
    this.context = context;
    this.channel = channel;
    this.connectedAt = context.clock().now();
  }

  /** A complete request was read, whatever it asks for. */
  void requestRead() {
    lastReadAt = context.clock().now();
    requests++;
  }

  /** A request was accepted as a query. */
  void queryReceived(QueryRequest query) {
    context.counters().add("scans.taken");
    if (LOG.isDebugEnabled()) {
      LOG.debug("query received: {}", describe(query, context.clock().now()));
    }
  }

  /** The final response of a query is to be written. */
  void responded(QueryRequest query, int status) {
    long now = context.clock().now();
    if (now >= query.deadline()) {
      context.counters().add("front.answered-late");
      LOG.info("response after the deadline: status={} {}", status, describe(query, now));
    } else if (LOG.isDebugEnabled()) {
      LOG.debug("response: status={} {}", status, describe(query, now));
    }
  }

  /** A client disconnected without its response: by its own will, or after its deadline. */
  void disconnected(QueryRequest query) {
    long now = context.clock().now();
    if (now >= query.deadline()) {
      context.counters().add("front.left-unanswered");
      LOG.info("client disconnected after the deadline: {}", describe(query, now));
    } else {
      context.counters().add("front.left-early");
      if (LOG.isDebugEnabled()) {
        LOG.debug("client disconnected before the response: {}", describe(query, now));
      }
    }
  }

  /** The connection is closed by this side. */
  void closed(String reason, int pendingRequests, boolean incompleteRequest) {
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "client connection closed: reason={} {}",
          reason,
          describeConnection(pendingRequests, incompleteRequest));
    }
  }

  /** The client ended the connection; logged if a request was under way or none ever came. */
  void disconnected(int pendingRequests, boolean incompleteRequest) {
    if (LOG.isDebugEnabled() && (pendingRequests > 0 || incompleteRequest || requests == 0)) {
      LOG.debug("client disconnected: {}", describeConnection(pendingRequests, incompleteRequest));
    }
  }

  private String describeConnection(int pendingRequests, boolean incompleteRequest) {
    return String.format(
        Locale.ROOT,
        "peer=%s age_ms=%d requests=%d pending_requests=%d incomplete_request=%b",
        channel.remoteAddress(),
        (context.clock().now() - connectedAt) / 1000,
        requests,
        pendingRequests,
        incompleteRequest);
  }

  private String describe(QueryRequest query, long now) {
    return String.format(
        Locale.ROOT,
        "query=%s %s age_ms=%d remaining_ms=%d connection_age_ms=%d read_ms_ago=%d requests=%d",
        query.id(),
        context.executor().describe(query.id()),
        (now - query.receivedAt()) / 1000,
        (query.deadline() - now) / 1000,
        (now - connectedAt) / 1000,
        (now - lastReadAt) / 1000,
        requests);
  }
}
