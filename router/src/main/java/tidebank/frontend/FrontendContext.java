package tidebank.frontend;

import tidebank.config.RouterConfig;
import tidebank.metrics.Counters;
import tidebank.runtime.Clock;
import tidebank.runtime.PolicyExecutor;
import tidebank.runtime.TimerQueue;

/** What all clients' connections of a router share. */
record FrontendContext(
    RouterConfig config,
    PolicyExecutor executor,
    Clock clock,
    TimerQueue timers,
    Counters counters) {}
