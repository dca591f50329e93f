package tidebank.runtime;

import java.net.InetSocketAddress;
import java.util.List;
import tidebank.model.Event;

/** What the decisions want of the side that talks to shard servers. */
public interface BackendPort {
  /** Applies an endpoint list, or a change of it; {@code full}: servers not named are gone. */
  void updateEndpoints(List<Member> members, boolean full);

  /**
   * Accepts an attempt, which is written with {@link #flush}. Its outcome is reported once, through
   * {@link PolicyExecutor#attemptCompleted}.
   */
  AttemptRequest.Handle send(AttemptRequest request);

  /** Writes the attempts accepted since the last call; those to one server share batches. */
  void flush();

  /** Takes the present connections to a server out of use; each closes once it is idle. */
  void retireConnections(String server);

  /** Sends a health check; its outcome goes to {@link PolicyExecutor#healthCheckCompleted}. */
  void checkHealth(String server);

  /** An endpoint of the list, with its address. */
  record Member(Event.Endpoint endpoint, InetSocketAddress address) {}
}
