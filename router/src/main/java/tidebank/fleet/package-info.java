/**
 * A query router as a member of its fleet: the agent that keeps its membership and leases, and the
 * singleton tasks that it does for all. Off unless the operator's file asks for it.
 *
 * <p>{@link tidebank.fleet.FleetAgent} runs on a thread of its own and owns all state here; the
 * router's event loop shares nothing with it but the {@link tidebank.fleet.AgentMailbox}, and
 * neither waits for the other. Leases are kept by {@link tidebank.fleet.LeaseClient} through a
 * {@link tidebank.fleet.CoordinatorSession}. {@link tidebank.fleet.CountersTask} is done by every
 * member, {@link tidebank.fleet.ReportTask} and {@link tidebank.fleet.RetentionTask} by the holder
 * of their lease; their files are in the {@link tidebank.fleet.SharedFolder}.
 *
 * <p>What is decided is pure: {@link tidebank.fleet.FleetReport} and {@link
 * tidebank.fleet.Retention}. {@link tidebank.fleet.LeaseCodec} is the one place where the lease
 * protocol's JSON is read and written. Start reading at {@link tidebank.fleet.FleetAgent}.
 */
package tidebank.fleet;
