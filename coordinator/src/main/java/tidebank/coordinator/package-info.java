/**
 * The lease coordinator, the control process of the fleet. An odd number of coordinators replicate
 * the lease table with Raft and serve members and operators over HTTP/1.1 with JSON.
 *
 * <p>{@link tidebank.coordinator.CoordinatorServer} wires the components of one process. {@link
 * tidebank.coordinator.HttpServer} receives a request on its single event loop, {@link
 * tidebank.coordinator.HttpRequestHandler} dispatches it, and {@link
 * tidebank.coordinator.RaftReplica} submits it to the replicated log. {@link
 * tidebank.coordinator.LeaseStateMachine} applies the log to the lease table on the Raft library's
 * thread and is the only owner of that table. Snapshots hold the lease table and the {@link
 * tidebank.coordinator.LeaseAuditLog}, encoded by {@link tidebank.coordinator.SnapshotFormat}.
 * {@link tidebank.coordinator.CoordinatorClient} is for operators and tests; members have their own
 * client.
 *
 * <p>Start reading at {@link tidebank.coordinator.CoordinatorServer}.
 */
package tidebank.coordinator;
