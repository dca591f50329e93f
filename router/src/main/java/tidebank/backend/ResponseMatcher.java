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
   * The ids of cancelled shard requests, mapped to the time in microseconds until which a response
   * is not a protocol error; the oldest first.
   */
  private final Map<String, Long> cancelledUntil = new LinkedHashMap<>();

  /**
   * A response held back until the data after it shows that its frame ended where its length field
   * said; null if there is none.
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

  /** Records a cancelled shard request, so that a late response to it is not an error. */
  void expectLateResponse(String requestId, long now) {
    cancelledUntil.values().removeIf(until -> until <= now);
    cancelledUntil.put(requestId, now + context.lateResponseWindowUs());
  }

  /** Returns whether a late response to a cancelled shard request may still arrive. */
  boolean expectsLateResponses() {
    return !cancelledUntil.isEmpty();
  }

  /**
   * Handles a response. While other requests are in flight, it is delivered only once the next
   * frame, or the end of the available data, shows that its frame ended where its length field
   * said. The response to the last request in flight is delivered at once, because data after it is
   * not attributed to it.
   *
   * @throws MalformedInputException if it matches no shard request that is in flight or was
   *     cancelled on this connection
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

  /** Completes all sent attempts with this outcome; they may have executed. */
  void failSent(Outcome outcome) {
    pendingResponse = null;
    for (InFlightAttempt attempt : List.copyOf(inFlight.values())) {
      if (attempt.isSent()) {
        pool.complete(attempt, outcome, null);
      }
    }
  }
}
