package tidebank.frontend;

import tidebank.config.RouterConfig;
import tidebank.metrics.Counters;
import tidebank.runtime.Clock;
import tidebank.runtime.PolicyExecutor;
import tidebank.runtime.TimerQueue;

/** The objects that all client connections of a router share. */
record FrontendContext(
    RouterConfig config,
    PolicyExecutor executor,
    Clock clock,
    TimerQueue timers,
    Counters counters) {}
