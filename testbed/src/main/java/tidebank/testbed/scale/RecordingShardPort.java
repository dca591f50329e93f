package tidebank.testbed.scale;

import java.util.List;
import tidebank.runtime.AttemptRequest;
import tidebank.runtime.BackendPort;

/**
 * A shard server port without sockets, which counts the endpoint list updates that it receives. A
 * simulated router has no queries, so a shard request or a health check is a fault of the run and
 * throws an {@link IllegalStateException}.
 */
final class RecordingShardPort implements BackendPort {
  private long snapshots;
  private long deltas;
  private long entries;

  @Override
  public void updateEndpoints(List<ResolvedEndpoint> members, boolean full) {
    if (full) {
      snapshots++;
    } else {
      deltas++;
    }
    entries += members.size();
  }

  @Override
  public AttemptRequest.Handle send(AttemptRequest request) {
    throw new IllegalStateException("a simulated router sent a shard request");
  }

  @Override
  public void flush() {
    // Requests are never queued.
  }

  @Override
  public void retireConnections(String server) {
    // There are no connections.
  }

  @Override
  public void checkHealth(String server) {
    throw new IllegalStateException("a simulated router sent a health check");
  }

  /** Returns the number of snapshots received, including the empty one at the start. */
  long snapshots() {
    return snapshots;
  }

  /** Returns the number of deltas received. */
  long deltas() {
    return deltas;
  }

  /** Returns the number of entries in all snapshots and deltas received. */
  long entries() {
    return entries;
  }
}
