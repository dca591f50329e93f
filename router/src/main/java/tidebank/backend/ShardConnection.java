package tidebank.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import tidebank.config.MalformedInputException;
import tidebank.model.Outcome;
import tidebank.runtime.TimerQueue;

/**
 * One connection to a shard server: its life cycle and the dispatch of what is read from it.
 * Writing batches, matching responses and health checks are the tasks of {@link BatchWriter},
 * {@link ResponseMatcher} and {@link HealthCheckQueue}.
 */
final class ShardConnection extends SimpleChannelInboundHandler<ByteBuf> {
  private enum State {
    CONNECTING,
    CONNECTED,
    CLOSED
  }

  private final ConnectionPool pool;
  private final BackendContext context;
  private final FrameDecoder decoder;
  private final BatchWriter writer;
  private final ResponseMatcher responses;
  private final HealthCheckQueue healthChecks;
  private final Set<RequestBatch> batches = new HashSet<>();
  private final TimerQueue.Timer idleTimer = TimerQueue.timer(this::closeIfIdle);
  private final TimerQueue.Timer incompleteFrameTimer =
      TimerQueue.timer(() -> protocolError("frame was not completed in time"));

  private Channel channel;
  private State state = State.CONNECTING;

  /** Whether no further batch may be assigned; it closes once it is idle. */
  private boolean retired;

  private long lastUsedAt;

  ShardConnection(ConnectionPool pool, BackendContext context) {
    this.pool = pool;
    this.context = context;
    this.decoder =
        new FrameDecoder(context.transport().maxBodyBytes() + FrameCodec.MAX_HEADER_BYTES);
    this.writer = new BatchWriter(this, pool, context);
    this.responses = new ResponseMatcher(pool, context);
    this.healthChecks = new HealthCheckQueue(this, pool.server(), context);
  }

  /** Returns the decoder that belongs in front of this handler in the pipeline. */
  FrameDecoder decoder() {
    return decoder;
  }

  boolean isClosed() {
    return state == State.CLOSED;
  }

  /** Starts to connect, once. What was assigned before is written when it is connected. */
  void connect() {
    if (channel != null) {
      return;
    }
    ChannelFuture connecting = pool.connect(this);
    channel = connecting.channel();
    connecting.addListener((ChannelFutureListener) this::connectCompleted);
  }

  private void connectCompleted(ChannelFuture connecting) {
    if (!connecting.isSuccess()) {
      context.counters().increment("shard.connect-failed");
      closed();
    }
  }

  /**
   * Returns whether a batch can be assigned: the connection is open, has a free stream slot and was
   * used recently enough that the server has not closed it as idle.
   */
  boolean hasCapacity() {
    return state != State.CLOSED
        && !retired
        && batches.size() < context.transport().maxStreams()
        && (state != State.CONNECTED
            || !batches.isEmpty()
            || context.clock().now() < idleDeadline());
  }

  private boolean isIdle() {
    return state == State.CONNECTED && batches.isEmpty() && healthChecks.isEmpty();
  }

  /**
   * Lets the connection finish its work and close. One that is still connecting is as new as could
   * be wanted and stays.
   */
  void retire() {
    retired = state == State.CONNECTED;
    if (isIdle()) {
      close();
    }
  }

  /**
   * Returns when the connection is too old to be used if it stays idle. A write after the
   * keep-alive is lost, so the last use is earlier by as long as connecting may take.
   */
  private long idleDeadline() {
    long keepaliveUs = context.transport().keepaliveUs();
    return lastUsedAt + Math.max(0, keepaliveUs - context.transport().connectTimeoutUs());
  }

  /** Takes a batch and writes it as soon as possible. */
  void assign(RequestBatch batch) {
    context.timers().cancel(idleTimer);
    batch.assignTo(this);
    batches.add(batch);
    writer.enqueue(batch);
    if (state == State.CONNECTED) {
      writer.flush(channel);
    }
  }

  /** Notes that the writer starts to write a batch. */
  void writing(RequestBatch batch, long now) {
    for (InFlightAttempt attempt : batch.attempts()) {
      attempt.markWriting();
      responses.add(attempt);
    }
    lastUsedAt = now;
  }

  /**
   * Closes the connection if a frame is written in part: only closing keeps the server from getting
   * the rest.
   */
  void closeIfWriting() {
    if (writer.isWriting()) {
      context.counters().increment("shard.closed-while-writing");
      close();
    }
  }

  /** Drops all batches that have not begun to be written. */
  void dropWaiting() {
    writer.dropWaiting();
  }

  /** Notifies the shard server that an attempt is cancelled, where the deployment permits that. */
  void cancel(InFlightAttempt attempt) {
    long now = context.clock().now();
    responses.cancelled(attempt.requestId(), now);
    if (context.cancellation() && channel.isActive()) {
      lastUsedAt = now;
      channel.writeAndFlush(
          FrameCodec.encodeCancel(channel.alloc(), attempt.requestId()), channel.voidPromise());
    }
  }

  /** Removes an attempt that has completed. */
  void remove(InFlightAttempt attempt) {
    responses.remove(attempt);
    RequestBatch batch = attempt.batch();
    if (!batch.isEmpty()) {
      return;
    }
    batches.remove(batch);
    writer.remove(batch);
    if (isIdle() && retired) {
      close();
    } else if (isIdle()) {
      context.timers().schedule(idleTimer, idleDeadline());
    }
  }

  /** Sends a health check now, or once connected. */
  void checkHealth(byte type) {
    healthChecks.add(type);
    if (state == State.CONNECTED) {
      healthChecks.write(channel, type);
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext handlerContext) {
    channel = handlerContext.channel();
    if (state == State.CONNECTING) {
      state = State.CONNECTED;
    }
    context.counters().increment("shard.connections");
    lastUsedAt = context.clock().now();
    healthChecks.writeAll(channel);
    writer.flush(channel);
    if (isIdle()) {
      context.timers().schedule(idleTimer, idleDeadline());
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext handlerContext, ByteBuf frame)
      throws MalformedInputException {
    if (state == State.CLOSED) {
      return;
    }
    if (!frame.isReadable()) {
      throw new MalformedInputException("frame has no type");
    }
    lastUsedAt = context.clock().now();
    responses.deliverPending();
    byte type = frame.readByte();
    switch (type) {
      case FrameCodec.RESPONSE -> responses.receive(FrameCodec.decodeResponse(frame));
      case FrameCodec.HEALTH_CHECK, FrameCodec.HEALTH_CHECK_WITH_LOAD ->
          healthChecks.receive(type, FrameCodec.remainingText(frame));
      case FrameCodec.REJECTED_FRAME ->
          throw new MalformedInputException(
              "server rejected a frame: " + FrameCodec.remainingText(frame));
      default -> throw new MalformedInputException("frame type is unknown: " + type);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext handlerContext) {
    if (state == State.CLOSED) {
      return;
    }
    if (!decoder.hasIncompleteFrame()) {
      context.timers().cancel(incompleteFrameTimer);
      responses.deliverPending();
    } else if (isIdle() && !responses.expectsLateResponses()) {
      protocolError("data without a request");
    } else {
      long due = context.clock().now() + context.transport().connectTimeoutUs();
      context.timers().schedule(incompleteFrameTimer, due);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    if (!(cause instanceof IOException) || cause instanceof MalformedInputException) {
      protocolError(String.valueOf(cause.getCause() == null ? cause : cause.getCause()));
    }
    close();
  }

  /**
   * Closes the connection because what was read is invalid, and so is whatever would follow it. The
   * attempts that were sent have failed and may have executed.
   */
  private void protocolError(String message) {
    if (state != State.CLOSED) {
      context
          .counters()
          .recordFault("shard.spoilt", "server=" + pool.server() + " error=" + message);
      responses.failSent(Outcome.PROTOCOL_ERROR);
      close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    closed();
  }

  void close() {
    if (channel != null) {
      channel.close();
    }
    closed();
  }

  /**
   * Completes whatever is left on the connection: what was sent may have executed, the rest never
   * did.
   */
  private void closed() {
    if (state == State.CLOSED) {
      return;
    }
    boolean wasConnected = state == State.CONNECTED;
    state = State.CLOSED;
    context.timers().cancel(idleTimer);
    healthChecks.cancelTimeout();
    context.timers().cancel(incompleteFrameTimer);
    pool.remove(this);
    for (RequestBatch batch : new ArrayList<>(batches)) {
      for (InFlightAttempt attempt : batch.copyOfAttempts()) {
        Outcome outcome = attempt.isSent() ? Outcome.CONNECTION_LOST : Outcome.UNREACHABLE;
        pool.complete(attempt, outcome, null);
      }
    }
    healthChecks.failAll(wasConnected ? Outcome.CONNECTION_LOST : Outcome.UNREACHABLE);
  }

  private void closeIfIdle() {
    if (isIdle()) {
      context.counters().increment("shard.closed-idle");
      close();
    }
  }
}
