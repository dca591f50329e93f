package tidebank.backend;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tidebank.config.MalformedInputException;
import tidebank.model.Outcome;

/** Matches the responses on one connection to the attempts that were written to it. */
final class ResponseMatcher {
  /**
   * A cancelled shard request, to which a late response may arrive.
   *
   * @param until when a response becomes a protocol error, in microseconds
   * @param endPosition where the frame of the request ends in the byte stream of the connection
   */
  private record CancelledRequest(long until, long endPosition) {}

  private final ConnectionPool pool;
  private final BackendContext context;
  private final OutboundStream outbound;
  private final Map<String, InFlightAttempt> inFlight = new HashMap<>();

  /** The cancelled shard requests by id, the oldest first. */
  private final Map<String, CancelledRequest> cancelled = new LinkedHashMap<>();

  ResponseMatcher(ConnectionPool pool, BackendContext context, OutboundStream outbound) {
    this.pool = pool;
    this.context = context;
    this.outbound = outbound;
  }

  void add(InFlightAttempt attempt) {
    inFlight.put(attempt.requestId(), attempt);
  }

  void remove(InFlightAttempt attempt) {
    inFlight.remove(attempt.requestId(), attempt);
  }

  /** Records a cancelled attempt, so that a late response to it is not an error. */
  void expectLateResponse(InFlightAttempt attempt, long now) {
    cancelled.values().removeIf(request -> request.until() <= now);
    cancelled.put(
        attempt.requestId(),
        new CancelledRequest(now + context.lateResponseWindowUs(), attempt.batch().endPosition()));
  }

  /** Returns how many responses may still arrive, late ones to cancelled requests included. */
  int awaitedCount() {
    return inFlight.size() + cancelled.size();
  }

  /**
   * Completes the attempt that a response answers.
   *
   * @throws MalformedInputException if it matches no shard request that is in flight or was
   *     cancelled on this connection, or its value contains the response to such a request
   */
  void receive(FrameCodec.Response response) throws MalformedInputException {
    if (containsAwaitedResponse(response.value())) {
      throw new MalformedInputException("response contains another one");
    }
    InFlightAttempt attempt = inFlight.get(response.requestId());
    if (attempt != null) {
      if (attempt.isSent()) {
        outbound.recordRead(attempt.batch().endPosition());
      }
      pool.complete(attempt, response.outcome(), response.value(), response.loadReport());
    } else {
      receiveLate(response);
    }
  }

  private void receiveLate(FrameCodec.Response response) throws MalformedInputException {
    CancelledRequest request = cancelled.remove(response.requestId());
    if (request == null) {
      throw new MalformedInputException("response matches no request in flight");
    }
    outbound.recordRead(request.endPosition());
    context.counters().increment("shard.answers-not-awaited");
  }

  private boolean containsAwaitedResponse(byte[] value) {
    return value != null && FrameCodec.idOfResponseAtEnd(value).filter(this::isAwaited).isPresent();
  }

  private boolean isAwaited(String requestId) {
    return inFlight.containsKey(requestId) || cancelled.containsKey(requestId);
  }

  /** Completes all sent attempts with this outcome; they may have executed. */
  void failSent(Outcome outcome) {
    for (InFlightAttempt attempt : List.copyOf(inFlight.values())) {
      if (attempt.isSent()) {
        pool.complete(attempt, outcome, null);
      }
    }
  }
}
