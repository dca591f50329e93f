/**
 * The decisions of one query router: which shard requests of a query are sent, to which replica,
 * when they are retried or hedged, and when the query is answered.
 *
 * <p>{@link tidebank.policy.RoutingPolicy} is the one entry. It takes events of {@code
 * tidebank.model} and returns actions; it does no I/O and has no thread, clock or random source of
 * its own, so that the same events always give the same actions. A policy and all of its state
 * belong to the thread that calls it, the router's event loop.
 *
 * <p>Start reading at {@code RoutingPolicy.on}. {@code LoadThresholds} selects a query's requests
 * by rank and load, {@code AttemptPlanner} decides on their attempts, {@code ReplicaSelector} on
 * the server, {@code QueryCompletion} on the answer, and {@code ActionEmitter} turns what changed
 * into actions. {@code AttemptFeedback} passes outcomes on to what learns from them: {@code
 * OutlierDetector} and {@code SlowStart} for each server, {@code ConcurrencyLimit} for each shard,
 * {@code LatencyTracker}, {@code CongestionDetector} and {@code IdleConnectionDetector} for all.
 *
 * <p>Times are whole microseconds of the caller's clock.
 */
package tidebank.policy;
