/**
 * Leases on the fleet's singleton tasks: the rules of the coordinator, which grants them, and of
 * the members, which hold them.
 *
 * <p>A singleton task is run by one member at a time. A member joins, claims the tasks that are
 * assigned to it and renews its leases. Each grant carries a fencing token that only increases, and
 * every write for a task is checked against the last token granted. Safety rests on that check and
 * on monotonic clocks with a bounded drift, never on a check by the sender alone.
 *
 * <p>The package is pure: it has no I/O, no threads and no clock of its own. {@link
 * tidebank.lease.LeaseTable} belongs to the coordinators' replicated state machine, which applies
 * commands in log order; {@link tidebank.lease.LeaseHolder} belongs to a member's agent thread.
 *
 * <p>Start reading at {@link tidebank.lease.LeaseTable#apply}. Each rule that must hold is a method
 * of {@link tidebank.lease.GrantRules} or one of the last methods of {@link
 * tidebank.lease.LeaseHolder}; the exhaustive model test disables one rule at a time. {@link
 * tidebank.lease.TaskLeaseTable} rejects stale fencing tokens.
 */
package tidebank.lease;
