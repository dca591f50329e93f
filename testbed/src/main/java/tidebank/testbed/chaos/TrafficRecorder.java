package tidebank.testbed.chaos;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseTable;

/**
 * Reads along on one connection to a steward, and tells the history what was asked and answered.
 * Belongs to one event loop.
 */
final class TrafficRecorder {
  private static final Logger LOG = LoggerFactory.getLogger(TrafficRecorder.class);
  private static final int BODY = 1 << 22;

  /** A call that is not answered yet; of a command, or of the state. */
  private record Call(LeaseCommand command, boolean ofState, long at) {}

  private final History history;
  private final String from;
  private final EmbeddedChannel up =
      new EmbeddedChannel(new HttpRequestDecoder(), new HttpObjectAggregator(BODY));
  private final EmbeddedChannel down =
      new EmbeddedChannel(new HttpResponseDecoder(), new HttpObjectAggregator(BODY));
  private final Deque<Call> calls = new ArrayDeque<>();

  TrafficRecorder(History history, String from) {
    this.history = history;
    this.from = from;
  }

  /** What the member sent, before anything is done to it. The buffer is only looked at. */
  void up(ByteBuf bytes) {
    up.writeInbound(bytes.copy());
    for (FullHttpRequest request = up.readInbound(); request != null; request = up.readInbound()) {
      LeaseCommand command = null;
      try {
        if (request.uri().equals("/fleet/command")) {
          command = LeaseCodec.readCommand(ByteBufUtil.getBytes(request.content()));
          history.asked(from, command);
        }
      } catch (IOException fault) {
        LOG.warn("a call of " + from + " can't be read: " + fault.getMessage());
      }
      calls.add(new Call(command, request.uri().equals("/fleet/state"), history.now()));
      request.release();
    }
  }

  /** What the steward answered, before anything is done to it. */
  void down(ByteBuf bytes) {
    down.writeInbound(bytes.copy());
    for (FullHttpResponse response = down.readInbound();
        response != null;
        response = down.readInbound()) {
      Call call = calls.poll();
      try {
        if (call != null && response.status().code() == 200) {
          byte[] body = ByteBufUtil.getBytes(response.content());
          CommandResult answer =
              call.command() == null ? null : LeaseCodec.read(body, CommandResult.class);
          if (call.ofState()) {
            history.read(from, call.at(), LeaseCodec.read(body, LeaseTable.State.class));
          } else if (answer != null && answer.config() != null) {
            history.answered(call.command(), answer);
          }
        }
      } catch (IOException fault) {
        LOG.warn("an answer to " + from + " can't be read: " + fault.getMessage());
      }
      response.release();
    }
  }

  void close() {
    up.finishAndReleaseAll();
    down.finishAndReleaseAll();
  }
}
