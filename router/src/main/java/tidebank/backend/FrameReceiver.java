package tidebank.backend;

import io.netty.buffer.ByteBuf;
import tidebank.backend.FrameCodec.HealthCheckResponse;
import tidebank.backend.FrameCodec.Response;
import tidebank.backend.FrameCodec.ServerFrame;
import tidebank.config.MalformedInputException;
import tidebank.runtime.TimerQueue;

/**
 * Receives the frames of one connection. A frame whose length field is too short loses its end
 * without any other sign, so a frame is dispatched only once the data after it shows that it ended
 * where its length field said: either the next frame begins there, or no data is left to read.
 */
final class FrameReceiver {
  private final FrameDecoder decoder;
  private final ResponseMatcher responses;
  private final HealthCheckQueue healthChecks;
  private final BackendContext context;
  private final TimerQueue.Timer incompleteFrameTimer;

  /** The last frame, which is not dispatched yet; null if there is none. */
  private ServerFrame pendingFrame;

  FrameReceiver(
      ShardConnection connection,
      FrameDecoder decoder,
      ResponseMatcher responses,
      HealthCheckQueue healthChecks,
      BackendContext context) {
    this.decoder = decoder;
    this.responses = responses;
    this.healthChecks = healthChecks;
    this.context = context;
    this.incompleteFrameTimer =
        TimerQueue.timer(() -> connection.protocolError("frame was not completed in time"));
  }

  /**
   * Dispatches the frame before this one, and holds this one back.
   *
   * @throws MalformedInputException if either is invalid or matches no request
   */
  void receive(ByteBuf frame) throws MalformedInputException {
    byte type = FrameCodec.readType(frame);
    dispatchPending();
    pendingFrame = FrameCodec.decode(type, frame);
  }

  /**
   * Handles the end of the available data: dispatches the last frame, or waits for the rest of the
   * frame after it.
   *
   * @throws MalformedInputException if the last frame matches no request, or the data after it is
   *     not part of an expected frame
   */
  void readCompleted() throws MalformedInputException {
    if (!decoder.hasIncompleteFrame()) {
      context.timers().cancel(incompleteFrameTimer);
      dispatchPending();
    } else if (!expectsAnotherFrame()) {
      throw new MalformedInputException("data without a request");
    } else {
      long due = context.clock().now() + context.transport().connectTimeoutUs();
      context.timers().schedule(incompleteFrameTimer, due);
    }
  }

  void cancelTimeout() {
    context.timers().cancel(incompleteFrameTimer);
  }

  private boolean expectsAnotherFrame() {
    int expected = responses.awaitedCount() + healthChecks.outstandingCount();
    return expected > (pendingFrame == null ? 0 : 1);
  }

  private void dispatchPending() throws MalformedInputException {
    ServerFrame frame = pendingFrame;
    pendingFrame = null;
    if (frame instanceof Response response) {
      responses.receive(response);
    } else if (frame instanceof HealthCheckResponse response) {
      healthChecks.receive(response);
    }
  }
}
