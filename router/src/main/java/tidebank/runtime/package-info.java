/**
 * The event loop and the life cycle of a query router.
 *
 * <p>The decisions ({@code policy}) are pure: they get events and return actions. This package
 * collects the events of one pass of the event loop, runs a decision round, and executes the
 * actions. Clients ({@code frontend}), shard servers ({@code backend}) and discovery know only this
 * package and not each other.
 *
 * <p>All state belongs to the one event loop of a router and is touched on no other thread; {@link
 * tidebank.runtime.QueryRouter} is the exception, as other threads start, stop and reload it.
 *
 * <p>Where to start: {@link tidebank.runtime.QueryRouter} creates and connects the parts. {@link
 * tidebank.runtime.PolicyExecutor} is what the three sides call; {@code DecisionLoop} runs the
 * rounds, {@code ActionExecutor} executes the actions, {@code PendingQueries} is the table of
 * queries without a response. {@code GracefulShutdown} is the sequence of a stop, its moments are
 * in {@code ShutdownSchedule}. {@link tidebank.runtime.TimerQueue} holds all timers.
 */
package tidebank.runtime;
