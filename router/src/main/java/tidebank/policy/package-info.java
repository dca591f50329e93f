/**
 * The decisions of a query router: which shard requests of a query are sent and to which replica,
 * when they are retried or hedged, and when the query is answered.
 *
 * <p>{@link tidebank.policy.RoutingPolicy} is the entry point. It takes events of {@code
 * tidebank.model} and returns actions. It does no I/O and has no threads and no clock, and its
 * random numbers follow from a seed, so that the same events always give the same actions. A policy
 * is not thread-safe; only the router's event loop calls it.
 *
 * <p>Start reading at {@code RoutingPolicy.runRound}. {@code LoadThresholds} selects a query's
 * requests by rank and load, {@code AttemptPlanner} decides on their attempts, {@code
 * ReplicaSelector} on the server, {@code QueryCompletion} on the answer, and {@code ActionEmitter}
 * turns what changed into actions. {@code AttemptFeedback} passes outcomes on to {@code
 * OutlierDetector} and {@code SlowStart} of each server, {@code ConcurrencyLimit} of each shard,
 * and {@code LatencyTracker}, {@code CongestionDetector} and {@code IdleConnectionDetector} for all
 * servers.
 *
 * <p>Times are whole microseconds of the caller's clock.
 */
package tidebank.policy;
