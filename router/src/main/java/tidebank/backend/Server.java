package tidebank.backend;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tidebank.model.Outcome;
import tidebank.runtime.DispatchRequest;
import tidebank.runtime.Timers;

/**
 * What is kept for one shard server: its address, its connections, this turn's calls and its drain.
 */
final class Server extends Timers.Timer {
  final String id;
  final ShardSide side;
  final List<Connection> connections = new ArrayList<>();
  InetSocketAddress address;

  /** The moment from which nothing may begin to be sent. */
  long closedFrom = Long.MAX_VALUE;

  boolean gone;
  private Call gathering;

  Server(String id, ShardSide side) {
    this.id = id;
    this.side = side;
  }

  void closeFrom(long at) {
    closedFrom = at;
    side.timers.set(this, at);
  }

  void openAgain() {
    closedFrom = Long.MAX_VALUE;
    side.timers.clear(this);
  }

  /** Its drain grace is over. */
  @Override
  protected void fire() {
    List.copyOf(connections).forEach(Connection::closedToNew);
  }

  /** Takes a part into this turn's call. */
  InFlightDispatch gather(DispatchRequest request) {
    if (gathering == null || gathering.flights.size() >= side.bundleMost()) {
      gathering = new Call(this);
      side.pending(gathering);
    }
    InFlightDispatch inFlight = new InFlightDispatch(request, gathering);
    gathering.flights.add(inFlight);
    side.timers.set(inFlight, request.stopAt);
    return inFlight;
  }

  void gathered() {
    gathering = null;
  }

  /** Gives a call to a connection with a free place, or to a new one. */
  void place(Call call) {
    if (call.flights.isEmpty()) {
      return;
    }
    Connection connection = withRoom();
    if (connection == null) {
      side.counters.fault("shard.no-connection-to-spare", "server " + id);
      endAll(call, Outcome.UNREACHABLE);
      side.forgetIfGone(this);
      return;
    }
    connection.take(call);
    connection.connect();
  }

  void probe(byte letter) {
    Connection connection = withRoom();
    if (connection == null) {
      side.driver.probed(id, Outcome.UNREACHABLE, 0, Map.of());
      return;
    }
    connection.probe(letter);
    connection.connect();
  }

  /** A connection with a free place, or a new one; null where none may be opened. */
  private Connection withRoom() {
    for (Connection connection : connections) {
      if (connection.hasRoom()) {
        return connection;
      }
    }
    if (address == null || !side.mayOpen(this)) {
      return null;
    }
    Connection connection = new Connection(this);
    connections.add(connection);
    side.opened++;
    return connection;
  }

  void endAll(Call call, Outcome outcome) {
    for (InFlightDispatch inFlight : List.copyOf(call.flights)) {
      end(inFlight, outcome, null);
    }
  }

  void end(InFlightDispatch inFlight, Outcome outcome, byte[] value) {
    end(inFlight, outcome, value, Map.of());
  }

  void end(InFlightDispatch inFlight, Outcome outcome, byte[] value, Map<String, Double> report) {
    // A write that fails at once may end its connection, and all on it, before it returns.
    if (inFlight.stage == InFlightDispatch.Stage.ENDED) {
      return;
    }
    inFlight.stage = InFlightDispatch.Stage.ENDED;
    side.timers.clear(inFlight);
    Call call = inFlight.call;
    call.flights.remove(inFlight);
    if (call.connection != null) {
      call.connection.forget(inFlight);
    }
    side.driver.dispatchEnded(inFlight.request, outcome, value, report);
  }

  void removed(Connection connection) {
    if (connections.remove(connection)) {
      side.opened--;
    }
    side.forgetIfGone(this);
  }
}
