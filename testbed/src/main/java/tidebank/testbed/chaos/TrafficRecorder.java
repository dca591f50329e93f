package tidebank.testbed.chaos;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseTableState;

/**
 * A recorder of the traffic on one connection to a coordinator. Decodes the requests and responses
 * and records commands, results and reads of the state in the history. Gets the bytes before any
 * fault affects them. Confined to the proxy's event loop.
 */
final class TrafficRecorder {
  private static final Logger LOG = LoggerFactory.getLogger(TrafficRecorder.class);
  private static final int MAX_BODY_BYTES = 1 << 22;
  private static final String COMMAND_PATH = "/fleet/command";
  private static final String STATE_PATH = "/fleet/state";

  /**
   * A call that has no response yet.
   *
   * @param command command of the call; null if the call is not a command or could not be decoded
   * @param readsState whether the call reads the state
   * @param calledAt time of the call, in the history's microseconds
   */
  private record PendingCall(LeaseCommand command, boolean readsState, long calledAt) {}

  private final History history;
  private final String from;
  private final EmbeddedChannel requests =
      new EmbeddedChannel(new HttpRequestDecoder(), new HttpObjectAggregator(MAX_BODY_BYTES));
  private final EmbeddedChannel responses =
      new EmbeddedChannel(new HttpResponseDecoder(), new HttpObjectAggregator(MAX_BODY_BYTES));
  private final Deque<PendingCall> pending = new ArrayDeque<>();

  TrafficRecorder(History history, String from) {
    this.history = history;
    this.from = from;
  }

  /** Decodes bytes from the caller; does not consume the buffer. */
  void decodeRequests(ByteBuf bytes) {
    requests.writeInbound(bytes.copy());
    for (FullHttpRequest request = requests.readInbound();
        request != null;
        request = requests.readInbound()) {
      LeaseCommand command = null;
      try {
        if (request.uri().equals(COMMAND_PATH)) {
          command = LeaseCodec.readCommand(ByteBufUtil.getBytes(request.content()));
          history.recordSentCommand(from, command);
        }
      } catch (IOException fault) {
        LOG.warn("command not decoded: from={} error={}", from, fault.getMessage());
      }
      pending.add(new PendingCall(command, request.uri().equals(STATE_PATH), history.now()));
      request.release();
    }
  }

  /** Decodes bytes from the coordinator; does not consume the buffer. */
  void decodeResponses(ByteBuf bytes) {
    responses.writeInbound(bytes.copy());
    for (FullHttpResponse response = responses.readInbound();
        response != null;
        response = responses.readInbound()) {
      PendingCall call = pending.poll();
      try {
        if (call != null && response.status().code() == HttpResponseStatus.OK.code()) {
          record(call, ByteBufUtil.getBytes(response.content()));
        }
      } catch (IOException fault) {
        LOG.warn("response not decoded: to={} error={}", from, fault.getMessage());
      }
      response.release();
    }
  }

  private void record(PendingCall call, byte[] body) throws IOException {
    if (call.readsState()) {
      history.recordRead(from, call.calledAt(), LeaseCodec.read(body, LeaseTableState.class));
    } else if (call.command() != null) {
      CommandResult result = LeaseCodec.read(body, CommandResult.class);
      // Only results that a leader decided contain the lease configuration.
      if (result != null && result.config() != null) {
        history.recordResult(call.command(), result);
      }
    }
  }

  void close() {
    requests.finishAndReleaseAll();
    responses.finishAndReleaseAll();
  }
}
