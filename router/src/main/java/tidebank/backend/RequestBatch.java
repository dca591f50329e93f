package tidebank.backend;

import java.util.ArrayList;
import java.util.List;

/**
 * Parts that travel in one frame and hold one place on a connection until the last of them has
 * ended.
 */
final class RequestBatch {
  final ConnectionPool server;

  /** The flights that have not ended. */
  final List<InFlightAttempt> flights = new ArrayList<>();

  ShardConnection connection;

  RequestBatch(ConnectionPool server) {
    this.server = server;
  }
}
