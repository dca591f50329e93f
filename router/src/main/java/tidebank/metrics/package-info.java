/**
 * Counters of a router. {@link tidebank.metrics.Counters} counts normal and exceptional occurrences
 * by name. The names are part of the interface to operators and must not change.
 *
 * <p>A set of counters is confined to the event loop of its router and is not thread-safe. It is
 * logged at a fixed interval and at shutdown, and members of a fleet publish it for the fleet
 * report.
 */
package tidebank.metrics;
