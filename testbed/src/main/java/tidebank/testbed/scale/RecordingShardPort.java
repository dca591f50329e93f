package tidebank.testbed.scale;

import java.util.List;
import tidebank.runtime.AttemptRequest;
import tidebank.runtime.BackendPort;

/**
 * The side of shard servers without a socket: it counts what it is told of the list. A hollow
 * gatherer holds no scans, so whatever would need a connection is a fault of the run.
 */
final class RecordingShardPort implements BackendPort {
  private long wholeLists;
  private long changes;
  private long entries;

  @Override
  public void updateEndpoints(List<ResolvedEndpoint> members, boolean full) {
    if (full) {
      wholeLists++;
    } else {
      changes++;
    }
    entries += members.size();
  }

  @Override
  public AttemptRequest.Handle send(AttemptRequest request) {
    throw new IllegalStateException("a hollow gatherer sent a dispatch");
  }

  @Override
  public void flush() {
    // Nothing waits to be sent.
  }

  @Override
  public void retireConnections(String server) {
    // There are no connections.
  }

  @Override
  public void checkHealth(String server) {
    throw new IllegalStateException("a hollow gatherer sent a probe");
  }

  /** Whole lists taken, the empty one it begins with included. */
  long wholeLists() {
    return wholeLists;
  }

  /** Answers taken that told of changes. */
  long changes() {
    return changes;
  }

  /** Entries of all lists and changes taken. */
  long entries() {
    return entries;
  }
}
