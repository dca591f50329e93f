/**
 * The gatherer as a library: life cycle, clock, wake-ups and the turn that drives the decisions.
 */
package tidebank.runtime;
