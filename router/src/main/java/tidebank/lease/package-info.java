/**
 * Who owns a duty of the fleet: the rules of both sides, of what grants leases and of what holds
 * them. Pure.
 */
package tidebank.lease;
