package tidebank.backend;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tidebank.config.MalformedInputException;
import tidebank.model.Outcome;

/** Matches the responses on one connection to the attempts that were written to it. */
final class ResponseMatcher {
  private final ConnectionPool pool;
  private final BackendContext context;
  private final Map<String, InFlightAttempt> inFlight = new HashMap<>();

  /**
   * Cancelled shard requests that may still be answered, and until when, in microseconds; the
   * oldest first.
   */
  private final Map<String, Long> cancelledUntil = new LinkedHashMap<>();

  /**
   * The latest response, until what was read after it shows that its frame was as long as its
   * length field said.
   */
  private FrameCodec.Response pendingResponse;

  ResponseMatcher(ConnectionPool pool, BackendContext context) {
    this.pool = pool;
    this.context = context;
  }

  void add(InFlightAttempt attempt) {
    inFlight.put(attempt.requestId(), attempt);
  }

  void remove(InFlightAttempt attempt) {
    inFlight.remove(attempt.requestId(), attempt);
  }

  /** Notes that a shard request was cancelled, so that a late response to it is no error. */
  void cancelled(String requestId, long now) {
    cancelledUntil.values().removeIf(until -> until <= now);
    cancelledUntil.put(requestId, now + context.lateResponseWindowUs());
  }

  /** Returns whether a late response to a cancelled shard request may still come. */
  boolean expectsLateResponses() {
    return !cancelledUntil.isEmpty();
  }

  /**
   * Takes a response. While others are outstanding it is delivered only once the next frame, or the
   * end of what could be read, shows that it ends where its length field says. What follows the
   * last outstanding response cannot be its fault, so that one is delivered at once.
   *
   * @throws MalformedInputException if it answers no shard request that is in flight here
   */
  void receive(FrameCodec.Response response) throws MalformedInputException {
    if (!inFlight.containsKey(response.requestId())) {
      if (cancelledUntil.remove(response.requestId()) == null) {
        throw new MalformedInputException("response matches no request in flight");
      }
      context.counters().increment("shard.answers-not-awaited");
      return;
    }
    pendingResponse = response;
    if (inFlight.size() == 1) {
      deliverPending();
    }
  }

  /** Delivers the pending response, if there is one and its attempt is still in flight. */
  void deliverPending() {
    FrameCodec.Response response = pendingResponse;
    pendingResponse = null;
    InFlightAttempt attempt = response == null ? null : inFlight.get(response.requestId());
    if (attempt != null) {
      pool.complete(attempt, response.outcome(), response.value(), response.loadReport());
    }
  }

  /** Fails all attempts that were sent; they may have executed. */
  void failSent(Outcome outcome) {
    pendingResponse = null;
    for (InFlightAttempt attempt : List.copyOf(inFlight.values())) {
      if (attempt.isSent()) {
        pool.complete(attempt, outcome, null);
      }
    }
  }
}
