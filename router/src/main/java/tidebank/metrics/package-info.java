/** Named counters of one process. They belong to its event loop. */
package tidebank.metrics;
