package tidebank.frontend;

import io.netty.channel.Channel;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.runtime.QueryRequest;

/**
 * Logs and counts the outcomes of the requests of one connection, with the times that explain them.
 * Requests that missed their deadline are logged at info level, all else at debug level.
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

  /** Records that a complete request of any kind was read. */
  void recordRequest() {
    lastReadAt = context.clock().now();
    requests++;
  }

  /** Records that a request was accepted as a query. */
  void recordQuery(QueryRequest query) {
    context.counters().increment("scans.taken");
    if (LOG.isDebugEnabled()) {
      LOG.debug("query received: {}", describe(query, context.clock().now()));
    }
  }

  /** Records that the final response of a query is available. */
  void recordResponse(QueryRequest query, int status) {
    long now = context.clock().now();
    if (now >= query.deadline()) {
      context.counters().increment("front.answered-late");
      LOG.info("response after the deadline: status={} {}", status, describe(query, now));
    } else if (LOG.isDebugEnabled()) {
      LOG.debug("response: status={} {}", status, describe(query, now));
    }
  }

  /** Records that the client disconnected before the response of a query, or after its deadline. */
  void recordDisconnect(QueryRequest query) {
    long now = context.clock().now();
    if (now >= query.deadline()) {
      context.counters().increment("front.left-unanswered");
      LOG.info("client disconnected after the deadline: {}", describe(query, now));
    } else {
      context.counters().increment("front.left-early");
      if (LOG.isDebugEnabled()) {
        LOG.debug("client disconnected before the response: {}", describe(query, now));
      }
    }
  }

  /** Records that the router closes the connection. */
  void recordClose(String reason, int pendingRequests, boolean hasIncompleteRequest) {
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "client connection closed: reason={} {}",
          reason,
          describeConnection(pendingRequests, hasIncompleteRequest));
    }
  }

  /** Logs that the client disconnected, if a request was pending or none was ever complete. */
  void recordDisconnect(int pendingRequests, boolean hasIncompleteRequest) {
    if (LOG.isDebugEnabled() && (pendingRequests > 0 || hasIncompleteRequest || requests == 0)) {
      LOG.debug(
          "client disconnected: {}", describeConnection(pendingRequests, hasIncompleteRequest));
    }
  }

  private String describeConnection(int pendingRequests, boolean hasIncompleteRequest) {
    return String.format(
        Locale.ROOT,
        "peer=%s age_ms=%d requests=%d pending_requests=%d incomplete_request=%b",
        channel.remoteAddress(),
        (context.clock().now() - connectedAt) / 1000,
        requests,
        pendingRequests,
        hasIncompleteRequest);
  }

  private String describe(QueryRequest query, long now) {
    return String.format(
        Locale.ROOT,
        "query=%s %s age_ms=%d remaining_ms=%d connection_age_ms=%d read_ms_ago=%d requests=%d",
        query.id(),
        context.executor().describeProgress(query.id()),
        (now - query.receivedAt()) / 1000,
        (query.deadline() - now) / 1000,
        (now - connectedAt) / 1000,
        (now - lastReadAt) / 1000,
        requests);
  }
}
