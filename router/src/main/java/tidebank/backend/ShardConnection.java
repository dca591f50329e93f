package tidebank.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import tidebank.config.MalformedInputException;
import tidebank.model.Outcome;
import tidebank.runtime.AttemptRequest;
import tidebank.runtime.TimerQueue;

/**
 * One connection to a shard server and its life cycle. {@link BatchWriter} writes the batches,
 * {@link FrameReceiver} receives the frames, {@link ResponseMatcher} matches the responses, and
 * {@link HealthCheckQueue} tracks the health checks.
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
  private final OutboundStream outbound;
  private final BatchWriter writer;
  private final ResponseMatcher responses;
  private final HealthCheckQueue healthChecks;
  private final FrameReceiver frames;
  private final Set<RequestBatch> batches = new HashSet<>();
  private final TimerQueue.Timer idleTimer = TimerQueue.timer(this::closeIfIdle);
  private final TimerQueue.Timer deliveryTimer = TimerQueue.timer(this::checkDelivery);

  private Channel channel;
  private State state = State.CONNECTING;

  /** Whether the connection takes no further batches and closes once it is idle. */
  private boolean retired;

  private long lastUsedAt;

  ShardConnection(ConnectionPool pool, BackendContext context) {
    this.pool = pool;
    this.context = context;
    this.decoder =
        new FrameDecoder(context.transport().maxBodyBytes() + FrameCodec.MAX_HEADER_BYTES);
    this.outbound = new OutboundStream(context.counters(), context.transport().connectTimeoutUs());
    this.writer = new BatchWriter(this, pool, context, outbound);
    this.responses = new ResponseMatcher(pool, context, outbound);
    this.healthChecks = new HealthCheckQueue(this, pool.server(), context, outbound);
    this.frames = new FrameReceiver(this, decoder, responses, healthChecks, context);
  }

  /** Returns the decoder that precedes this handler in the pipeline. */
  FrameDecoder decoder() {
    return decoder;
  }

  boolean isClosed() {
    return state == State.CLOSED;
  }

  /** Connects on the first call. Batches assigned before are written once it is connected. */
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
   * Returns whether a batch can be assigned: the connection is neither closed nor retired, has a
   * free stream slot and, if idle, was used recently enough that the server has not closed it.
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
   * Closes the connection once it is idle, and takes no further batches until then. A connection
   * that is still connecting is new enough and stays in use.
   */
  void retire() {
    retired = state == State.CONNECTED;
    if (isIdle()) {
      close();
    }
  }

  /**
   * Returns when a connection that stays idle can no longer be used, in microseconds. A write after
   * the keep-alive is lost, so this is earlier than its end by the connect timeout.
   */
  private long idleDeadline() {
    long keepaliveUs = context.transport().keepaliveUs();
    return lastUsedAt + Math.max(0, keepaliveUs - context.transport().connectTimeoutUs());
  }

  /** Assigns a batch to this connection, which writes it as soon as possible. */
  void assign(RequestBatch batch) {
    context.timers().cancel(idleTimer);
    batch.assignTo(this);
    batches.add(batch);
    writer.enqueue(batch);
    if (state == State.CONNECTED) {
      writer.flush(channel);
    }
  }

  /** Handles the start of a write: the attempts of the batch may be answered from now on. */
  void writeStarted(RequestBatch batch, long now) {
    for (InFlightAttempt attempt : batch.attempts()) {
      attempt.markWriting();
      responses.add(attempt);
    }
    lastUsedAt = now;
  }

  /** Returns whether a batch that was written may not have reached the server's system yet. */
  boolean mayBeUndelivered(RequestBatch batch) {
    return outbound.mayBeUndelivered(batch.endPosition());
  }

  /** Closes the connection if a frame is partly written. */
  void closeIfWriting() {
    if (writer.isWriting()) {
      closeUndelivered();
    }
  }

  /**
   * Closes the connection because an attempt has ended and the server may not have received its
   * frame completely. Only closing keeps the rest from being delivered later.
   */
  void closeUndelivered() {
    if (state != State.CLOSED) {
      context
          .counters()
          .increment(
              writer.isWriting() ? "shard.closed-while-writing" : "shard.closed-undelivered");
      close();
    }
  }

  /**
   * Requires that a batch with idempotency keys arrives while the keys are recognized, even if its
   * attempts are not given up until then.
   */
  void requireDeliveryInKeyWindow(RequestBatch batch) {
    for (InFlightAttempt attempt : batch.attempts()) {
      AttemptRequest request = attempt.request();
      long windowEndsAt =
          context.keyWindows().endsAt(request.queryClass(), request.firstAttemptAt());
      outbound.delivery().requireRead(batch.endPosition(), windowEndsAt);
    }
    scheduleDeliveryCheck();
  }

  /** Requires that the frame of an attempt that was given up arrives in time or never. */
  void requireDelivery(InFlightAttempt attempt) {
    outbound
        .delivery()
        .requireReadAfterGivingUp(
            attempt.batch().endPosition(), attempt.deadline(), context.clock().now());
    scheduleDeliveryCheck();
  }

  private void scheduleDeliveryCheck() {
    long checkAt = outbound.delivery().nextCheckAt();
    if (state != State.CLOSED && checkAt != DeliveryTracker.NEVER) {
      context.timers().schedule(deliveryTimer, checkAt);
    }
  }

  /**
   * Closes the connection if a frame was not read in time. Shortly before, asks the server by a
   * health check: it reads the frames in order, so its response shows that it has read all others.
   */
  private void checkDelivery() {
    readNow();
    DeliveryTracker delivery = outbound.delivery();
    long now = context.clock().now();
    if (delivery.isOverdue(now)) {
      closeUndelivered();
      return;
    }
    if (delivery.isProbeDue(now)) {
      delivery.recordProbe();
      if (context.healthChecks() && state == State.CONNECTED) {
        healthChecks.addDeliveryCheck(channel);
      }
    }
    scheduleDeliveryCheck();
  }

  /** Reads the available input, as responses may have waited unread while this process stalled. */
  void readNow() {
    if (channel instanceof AbstractNioChannel nioChannel && channel.isActive()) {
      nioChannel.unsafe().read();
    }
  }

  /** Drops all queued batches and reports their attempts as not sent. */
  void dropUnwritten() {
    writer.dropUnwritten();
  }

  /** Notifies the shard server of a cancelled attempt if the deployment permits cancellation. */
  void cancel(InFlightAttempt attempt) {
    long now = context.clock().now();
    responses.expectLateResponse(attempt, now);
    if (context.cancellation() && channel.isActive()) {
      lastUsedAt = now;
      ByteBuf frame = FrameCodec.encodeCancel(channel.alloc(), attempt.requestId());
      outbound.recordWrite(frame);
      channel.writeAndFlush(frame, channel.voidPromise());
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
    becameIdle();
  }

  /** Closes the connection now or later if it is idle. */
  void becameIdle() {
    if (isIdle() && retired) {
      close();
    } else if (isIdle()) {
      context.timers().schedule(idleTimer, idleDeadline());
    }
  }

  /** Sends a health check of this frame type, now or once connected. */
  void checkHealth(byte type) {
    healthChecks.add(type, channel, state == State.CONNECTED);
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
    lastUsedAt = context.clock().now();
    frames.receive(frame);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext handlerContext)
      throws MalformedInputException {
    if (state != State.CLOSED) {
      frames.readCompleted();
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
   * Closes the connection because it received invalid data, after which no further data can be
   * trusted. The sent attempts fail; they may have executed.
   */
  void protocolError(String message) {
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
      outbound.close(channel);
    }
    closed();
  }

  /**
   * Completes all attempts left on the connection: those that were sent may have executed, the
   * others have not.
   */
  private void closed() {
    if (state == State.CLOSED) {
      return;
    }
    boolean wasConnected = state == State.CONNECTED;
    state = State.CLOSED;
    context.timers().cancel(idleTimer);
    context.timers().cancel(deliveryTimer);
    healthChecks.cancelTimeout();
    frames.cancelTimeout();
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
