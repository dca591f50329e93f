/**
 * How cost grows with the fleet: hollow gatherers on a ladder of sizes, what they cost, straight
 * lines through that, and the tables of the capacity page.
 */
package tidebank.testbed.scale;
