package tidebank.testbed.emulator;

import java.util.List;

/**
 * A model of the queue and the execution of requests in a shard server, without network or clock:
 * callers pass the time, in microseconds. {@link ShardServerEmulator} submits the requests that it
 * receives and sends responses for those completed, so a more detailed queueing model can be
 * substituted.
 */
public interface ServerModel {
  /** A completed shard request, to be answered now. */
  record Completion(String requestId, long atUs) {}

  /**
   * Submits a shard request.
   *
   * @param workUs its processing time on a warm slot
   * @param deadlineUs when the router stops waiting for the response
   * @return whether it was accepted; a rejected request is never executed
   */
  boolean submit(long nowUs, String requestId, long workUs, long deadlineUs);

  /**
   * Cancels a shard request. A queued request is removed; one in execution continues.
   *
   * @return whether it was removed and so is never executed
   */
  boolean cancel(long nowUs, String requestId);

  /**
   * Removes and returns the requests completed up to this time, in order, and starts queued ones in
   * the slots that became free.
   */
  List<Completion> pollCompletions(long nowUs);

  /** Returns the time of the next completion; {@link Long#MAX_VALUE} if nothing is executing. */
  long nextCompletionUs();

  /** Rejects new requests from now on; accepted ones are completed. */
  void startDraining();

  /** Restarts the server: all requests are discarded and the warm-up begins at this time. */
  void restart(long nowUs);

  /** Returns the share of its capacity that the server has at this time; below 1 during warm-up. */
  double capacityShare(long nowUs);

  /** Returns the work that the warm server completes in a second, in microseconds. */
  double capacityUsPerS();

  /** Returns the number of requests that are executing or queued. */
  int inFlight();

  /** Returns the share of the slots that are busy, from 0 to 1. */
  double utilization();
}
