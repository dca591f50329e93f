/**
 * The event loop and the life cycle of a query router.
 *
 * <p>The routing policy ({@code policy}) performs no I/O: it gets events and returns actions. This
 * package collects the events of one event loop pass, runs a decision round and executes the
 * actions. The packages for clients ({@code frontend}), shard servers ({@code backend}) and
 * discovery depend on this package but not on each other.
 *
 * <p>All state is confined to the router's single event loop. The exceptions are {@link
 * tidebank.runtime.QueryRouter}, which other threads start, stop and reload, and {@link
 * tidebank.runtime.ServeCommand}.
 *
 * <p>Where to start: {@link tidebank.runtime.QueryRouter} creates and connects the components.
 * {@link tidebank.runtime.PolicyExecutor} is called by the frontend, the backend and discovery;
 * {@code DecisionLoop} runs the decision rounds, {@code ActionExecutor} executes the actions and
 * {@code PendingQueries} is the table of queries without a response. {@code GracefulShutdown}
 * carries out a stop at the times given by {@code ShutdownSchedule}. {@link
 * tidebank.runtime.TimerQueue} holds all timers.
 */
package tidebank.runtime;
