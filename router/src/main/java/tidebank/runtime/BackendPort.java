package tidebank.runtime;

import java.net.InetSocketAddress;
import java.util.List;
import tidebank.model.Event;

/** What the turn asks of the side that speaks to shard servers. */
public interface BackendPort {
  /** Takes the list, or what changed in it; {@code full}: what is not named has left. */
  void updateEndpoints(List<Member> members, boolean full);

  /** Takes a dispatch; it goes out with {@link #flush}. Its end is told to the turn. */
  AttemptRequest.Handle send(AttemptRequest request);

  /** All sends of this turn are in: those to one server share calls. */
  void flush();

  /** Takes the connections that are up out of use; each closes once nothing is out on it. */
  void retireConnections(String server);

  void checkHealth(String server);

  /** A line of the list, with the address. */
  record Member(Event.Endpoint endpoint, InetSocketAddress address) {}
}
