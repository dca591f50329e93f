package tidebank.runtime;

import java.net.InetSocketAddress;
import java.util.List;
import tidebank.model.Event;

/** The client of the shard servers, as far as the policy's actions and endpoint lists need it. */
public interface BackendPort {
  /** Applies an endpoint list. If {@code full}, servers that are not listed are gone. */
  void updateEndpoints(List<ResolvedEndpoint> endpoints, boolean full);

  /**
   * Buffers an attempt until {@link #flush}. Its outcome is reported exactly once, through {@link
   * PolicyExecutor#attemptCompleted}.
   */
  AttemptRequest.Handle send(AttemptRequest request);

  /** Writes the attempts buffered since the last call, batching those to the same server. */
  void flush();

  /** Sends nothing more on the current connections to a server; each closes once it is idle. */
  void retireConnections(String server);

  /** Sends a health check and reports to {@link PolicyExecutor#healthCheckCompleted}. */
  void checkHealth(String server);

  /** An endpoint of the list with its network address. */
  record ResolvedEndpoint(Event.Endpoint endpoint, InetSocketAddress address) {}
}
