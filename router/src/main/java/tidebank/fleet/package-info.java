/**
 * A query router as a member of its fleet: the agent that keeps its membership and leases, and the
 * singleton tasks that it runs for the whole fleet. Disabled unless the operator's configuration
 * file enables it.
 *
 * <p>{@link tidebank.fleet.FleetAgent} runs on a thread of its own and owns all state of this
 * package. The router's event loop shares only the {@link tidebank.fleet.AgentMailbox} with it, and
 * neither waits for the other. {@link tidebank.fleet.LeaseClient} keeps the leases through a {@link
 * tidebank.fleet.CoordinatorHttpClient}. Every member runs {@link tidebank.fleet.CountersTask};
 * only the lease holders run {@link tidebank.fleet.ReportTask} and {@link
 * tidebank.fleet.RetentionTask}. Their files are in the {@link tidebank.fleet.SharedFolder}.
 *
 * <p>The decisions are pure: {@link tidebank.fleet.FleetReport} and {@link
 * tidebank.fleet.RemovalList}. {@link tidebank.fleet.LeaseCodec} is the only class that reads and
 * writes the JSON of the lease protocol. Start reading at {@link tidebank.fleet.FleetAgent}.
 */
package tidebank.fleet;
