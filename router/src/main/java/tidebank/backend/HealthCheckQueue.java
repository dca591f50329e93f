package tidebank.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Map;
import tidebank.config.MalformedInputException;
import tidebank.model.Outcome;
import tidebank.runtime.TimerQueue;

/** The outstanding health checks of one connection, in the order that responses arrive. */
final class HealthCheckQueue {
  private static final class HealthCheck {
    private final byte type;
    private final long requestedAt;

    /** Whether the policy has asked for it and receives its outcome. */
    private final boolean isForPolicy;

    /** Where its frame ends in the byte stream of the connection, once it is written. */
    private long endPosition;

    HealthCheck(byte type, long requestedAt, boolean isForPolicy) {
      this.type = type;
      this.requestedAt = requestedAt;
      this.isForPolicy = isForPolicy;
    }
  }

  private final ShardConnection connection;
  private final String server;
  private final BackendContext context;
  private final OutboundStream outbound;
  private final ArrayDeque<HealthCheck> outstanding = new ArrayDeque<>();
  private final TimerQueue.Timer timeout = TimerQueue.timer(this::timedOut);

  HealthCheckQueue(
      ShardConnection connection, String server, BackendContext context, OutboundStream outbound) {
    this.connection = connection;
    this.server = server;
    this.context = context;
    this.outbound = outbound;
  }

  boolean isEmpty() {
    return outstanding.isEmpty();
  }

  /** Returns the number of health checks without a response. */
  int outstandingCount() {
    return outstanding.size();
  }

  /** Adds a health check for the policy, and writes it if the connection is established. */
  void add(byte type, Channel channel, boolean connected) {
    HealthCheck check = new HealthCheck(type, context.clock().now(), true);
    add(check);
    if (connected) {
      write(channel, check);
    }
  }

  /** Writes a health check whose response shows that the server has read all before it. */
  void addDeliveryCheck(Channel channel) {
    HealthCheck check = new HealthCheck(FrameCodec.HEALTH_CHECK, context.clock().now(), false);
    context.counters().increment("shard.delivery-checks");
    add(check);
    write(channel, check);
  }

  private void add(HealthCheck check) {
    outstanding.add(check);
    if (outstanding.size() == 1) {
      scheduleTimeout();
    }
  }

  /** Writes all health checks that were added before the connection was established. */
  void writeAll(Channel channel) {
    for (HealthCheck check : outstanding) {
      write(channel, check);
    }
  }

  private void write(Channel channel, HealthCheck check) {
    ByteBuf frame = FrameCodec.encodeHealthCheck(channel.alloc(), check.type);
    check.endPosition = outbound.recordWrite(frame);
    channel.writeAndFlush(frame, channel.voidPromise());
  }

  /**
   * Handles a response.
   *
   * @throws MalformedInputException if there is no outstanding health check, or the oldest is of
   *     another type
   */
  void receive(FrameCodec.HealthCheckResponse response) throws MalformedInputException {
    HealthCheck check = outstanding.poll();
    if (check == null || check.type != response.type()) {
      throw new MalformedInputException("response matches no health check");
    }
    context.timers().cancel(timeout);
    outbound.recordRead(check.endPosition);
    boolean healthy = FrameCodec.isHealthy(response.text());
    boolean hasLoadReport = healthy && response.type() == FrameCodec.HEALTH_CHECK_WITH_LOAD;
    report(
        check,
        healthy ? Outcome.COMPLETED : Outcome.ERROR,
        hasLoadReport ? FrameCodec.parseLoadReport(response.text()) : Map.of());
    if (!outstanding.isEmpty()) {
      scheduleTimeout();
    }
    connection.becameIdle();
  }

  private void scheduleTimeout() {
    context
        .timers()
        .schedule(timeout, context.clock().now() + context.transport().connectTimeoutUs());
  }

  private void timedOut() {
    HealthCheck oldest = outstanding.peek();
    connection.readNow();
    if (oldest != null && outstanding.peek() == oldest) {
      outstanding.poll();
      report(oldest, Outcome.TIMED_OUT, Map.of());
      connection.closeUndelivered();
    }
  }

  void cancelTimeout() {
    context.timers().cancel(timeout);
  }

  /** Reports this outcome for all outstanding health checks and removes them. */
  void failAll(Outcome outcome) {
    for (HealthCheck check : outstanding) {
      report(check, outcome, Map.of());
    }
    outstanding.clear();
  }

  private void report(HealthCheck check, Outcome outcome, Map<String, Double> loadReport) {
    if (check.isForPolicy) {
      long durationUs = context.clock().now() - check.requestedAt;
      context.policy().healthCheckCompleted(server, outcome, durationUs, loadReport);
    }
  }
}
