/**
 * The lease coordinator: the fleet's control process. An odd number of them replicate the lease
 * table by Raft and serve members and operators over HTTP/1.1 with JSON.
 *
 * <p>{@link tidebank.coordinator.CoordinatorServer} is one process's parts put together. A request
 * comes in at {@link tidebank.coordinator.HttpServer} on its one event loop, is dispatched by
 * {@link tidebank.coordinator.HttpRequestHandler}, and is submitted to the log by {@link
 * tidebank.coordinator.RaftReplica}; {@link tidebank.coordinator.LeaseStateMachine} applies the log
 * to the lease table, on the Raft library's own thread, and alone owns that table. Its {@link
 * tidebank.coordinator.SnapshotFormat} and {@link tidebank.coordinator.LeaseAuditLog} are stored
 * with it. {@link tidebank.coordinator.CoordinatorClient} is for operators and tests; members have
 * a client of their own.
 *
 * <p>Start reading at {@link tidebank.coordinator.CoordinatorServer}.
 */
package tidebank.coordinator;
