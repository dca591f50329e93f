/**
 * Leases on the fleet's singleton tasks: the rules of the coordinator that grants them and of the
 * member that holds them.
 *
 * <p>A singleton task is done by one member at a time. A member joins, claims the tasks that are
 * assigned to it and renews its leases; each grant carries a fencing token that only grows, and
 * every write for a task is checked against the last token granted. Safety rests on that check and
 * on monotonic clocks of a bounded drift, never on a check at the sender alone.
 *
 * <p>Everything here is pure: no I/O, no threads, no clock of its own. {@link
 * tidebank.lease.LeaseTable} is owned by the coordinator's replicated state machine, which applies
 * commands in the order of its log; {@link tidebank.lease.LeaseHolder} is owned by a member's agent
 * thread.
 *
 * <p>Start reading at {@link tidebank.lease.LeaseTable#apply}. The rules that must hold are one
 * method each in {@link tidebank.lease.GrantRules} and at the end of {@link
 * tidebank.lease.LeaseHolder}; the exhaustive model test leaves out one at a time. A stale fencing
 * token is refused in {@link tidebank.lease.TaskLeaseTable}.
 */
package tidebank.lease;
