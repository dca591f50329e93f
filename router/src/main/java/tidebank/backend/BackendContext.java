package tidebank.backend;

import tidebank.config.RouterConfig;
import tidebank.metrics.Counters;
import tidebank.runtime.Clock;
import tidebank.runtime.PolicyExecutor;
import tidebank.runtime.TimerQueue;

/**
 * The collaborators and settings that all classes of this package share.
 *
 * @param policy receives the outcome of each attempt and health check
 * @param clock the router's clock, in microseconds
 * @param timers the event loop's timers
 * @param counters the router's counters
 * @param transport the settings of sockets
 * @param cancellation whether shard servers accept a cancel frame
 * @param lateResponseWindowUs how long the response to a cancelled attempt may still arrive without
 *     being a protocol error, in microseconds
 */
record BackendContext(
    PolicyExecutor policy,
    Clock clock,
    TimerQueue timers,
    Counters counters,
    RouterConfig.Transport transport,
    boolean cancellation,
    long lateResponseWindowUs) {}
