package tidebank.backend;

import tidebank.config.RouterConfig;
import tidebank.metrics.Counters;
import tidebank.runtime.Clock;
import tidebank.runtime.PolicyExecutor;
import tidebank.runtime.TimerQueue;

/**
 * Collaborators and settings shared by the classes of this package.
 *
 * @param policy receives the outcome of each attempt and health check
 * @param clock the router's clock, in microseconds
 * @param timers the event loop's timers
 * @param counters the router's counters
 * @param transport the socket settings
 * @param healthChecks whether shard servers may be sent health checks
 * @param keyWindows the times within which shard servers recognize idempotency keys
 * @param cancellation whether shard servers accept a cancel frame
 * @param lateResponseWindowUs how long after the cancellation of an attempt a response to it is not
 *     a protocol error, in microseconds
 */
record BackendContext(
    PolicyExecutor policy,
    Clock clock,
    TimerQueue timers,
    Counters counters,
    RouterConfig.Transport transport,
    boolean healthChecks,
    KeyWindows keyWindows,
    boolean cancellation,
    long lateResponseWindowUs) {}
