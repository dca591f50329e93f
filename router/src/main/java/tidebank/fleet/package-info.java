/**
 * A gatherer as a member of its fleet: its agent, and the duties that it does for all. Off unless
 * the operator's file asks.
 */
package tidebank.fleet;
