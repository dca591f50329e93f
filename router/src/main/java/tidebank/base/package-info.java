/** What every other package may use: the log and the invariants. */
package tidebank.base;
