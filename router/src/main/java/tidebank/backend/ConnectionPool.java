package tidebank.backend;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tidebank.model.Outcome;
import tidebank.runtime.AttemptRequest;
import tidebank.runtime.TimerQueue;

/**
 * What is kept for one shard server: its address, its connections, this turn's calls and its drain.
 */
final class ConnectionPool extends TimerQueue.Timer {
  final String id;
  final ShardClient side;
  final List<ShardConnection> connections = new ArrayList<>();
  InetSocketAddress address;

  /** The moment from which nothing may begin to be sent. */
  long closedFrom = Long.MAX_VALUE;

  boolean gone;
  private RequestBatch gathering;

  ConnectionPool(String id, ShardClient side) {
    this.id = id;
    this.side = side;
  }

  void closeFrom(long at) {
    closedFrom = at;
    side.timers.schedule(this, at);
  }

  void openAgain() {
    closedFrom = Long.MAX_VALUE;
    side.timers.cancel(this);
  }

  /** Its drain grace is over. */
  @Override
  protected void fire() {
    List.copyOf(connections).forEach(ShardConnection::closedToNew);
  }

  /** Takes a part into this turn's call. */
  InFlightAttempt gather(AttemptRequest request) {
    if (gathering == null || gathering.flights.size() >= side.bundleMost()) {
      gathering = new RequestBatch(this);
      side.pending(gathering);
    }
    InFlightAttempt inFlight = new InFlightAttempt(request, gathering);
    gathering.flights.add(inFlight);
    side.timers.schedule(inFlight, request.deadline);
    return inFlight;
  }

  void gathered() {
    gathering = null;
  }

  /** Gives a call to a connection with a free place, or to a new one. */
  void place(RequestBatch call) {
    if (call.flights.isEmpty()) {
      return;
    }
    ShardConnection connection = withRoom();
    if (connection == null) {
      side.counters.recordFault("shard.no-connection-to-spare", "server " + id);
      endAll(call, Outcome.UNREACHABLE);
      side.forgetIfGone(this);
      return;
    }
    connection.take(call);
    connection.connect();
  }

  void probe(byte letter) {
    ShardConnection connection = withRoom();
    if (connection == null) {
      side.driver.healthCheckCompleted(id, Outcome.UNREACHABLE, 0, Map.of());
      return;
    }
    connection.probe(letter);
    connection.connect();
  }

  /** A connection with a free place, or a new one; null where none may be opened. */
  private ShardConnection withRoom() {
    for (ShardConnection connection : connections) {
      if (connection.hasRoom()) {
        return connection;
      }
    }
    if (address == null || !side.mayOpen(this)) {
      return null;
    }
    ShardConnection connection = new ShardConnection(this);
    connections.add(connection);
    side.opened++;
    return connection;
  }

  void endAll(RequestBatch call, Outcome outcome) {
    for (InFlightAttempt inFlight : List.copyOf(call.flights)) {
      end(inFlight, outcome, null);
    }
  }

  void end(InFlightAttempt inFlight, Outcome outcome, byte[] value) {
    end(inFlight, outcome, value, Map.of());
  }

  void end(InFlightAttempt inFlight, Outcome outcome, byte[] value, Map<String, Double> report) {
    // A write that fails at once may end its connection, and all on it, before it returns.
    if (inFlight.stage == InFlightAttempt.Stage.ENDED) {
      return;
    }
    inFlight.stage = InFlightAttempt.Stage.ENDED;
    side.timers.cancel(inFlight);
    RequestBatch call = inFlight.call;
    call.flights.remove(inFlight);
    if (call.connection != null) {
      call.connection.forget(inFlight);
    }
    side.driver.attemptCompleted(inFlight.request, outcome, value, report);
  }

  void removed(ShardConnection connection) {
    if (connections.remove(connection)) {
      side.opened--;
    }
    side.forgetIfGone(this);
  }
}
