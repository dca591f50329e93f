/**
 * Scale runs, which measure how cost grows with the fleet: measurements of simulated routers at a
 * range of sizes, linear fits through the results, and the tables of the capacity page. Routers are
 * called gatherers in profiles, results and tables.
 */
package tidebank.testbed.scale;
