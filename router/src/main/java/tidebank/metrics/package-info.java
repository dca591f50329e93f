/**
 * Counters of a router. {@link tidebank.metrics.Counters} maps the names of events, usual and odd
 * ones, to how often they happened; the names are part of the interface to operators and do not
 * change.
 *
 * <p>A set of counters belongs to the event loop of its router and is not thread-safe. They are
 * logged at a fixed interval and at the end, and members of a fleet publish them for its report.
 */
package tidebank.metrics;
