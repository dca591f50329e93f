package tidebank.backend;

import java.util.ArrayList;
import java.util.List;

/**
 * Parts that travel in one frame and hold one place on a connection until the last of them has
 * ended.
 */
final class Call {
  final Server server;

  /** The flights that have not ended. */
  final List<InFlightDispatch> flights = new ArrayList<>();

  Connection connection;

  Call(Server server) {
    this.server = server;
  }
}
