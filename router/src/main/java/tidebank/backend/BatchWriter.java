package tidebank.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import java.util.ArrayDeque;
import java.util.List;
import tidebank.model.Outcome;

/**
 * The write queue of a connection. Netty is given one batch at a time. The others wait here, where
 * they can still be dropped and are known not to have executed.
 */
final class BatchWriter {
  private final ShardConnection connection;
  private final ConnectionPool pool;
  private final BackendContext context;
  private final OutboundStream outbound;
  private final ChannelFutureListener writeListener = this::writeCompleted;
  private final ArrayDeque<RequestBatch> queuedBatches = new ArrayDeque<>();
  private RequestBatch currentBatch;

  BatchWriter(
      ShardConnection connection,
      ConnectionPool pool,
      BackendContext context,
      OutboundStream outbound) {
    this.connection = connection;
    this.pool = pool;
    this.context = context;
    this.outbound = outbound;
  }

  void enqueue(RequestBatch batch) {
    queuedBatches.add(batch);
  }

  /** Removes a batch that has no attempts left. */
  void remove(RequestBatch batch) {
    queuedBatches.remove(batch);
  }

  boolean isWriting() {
    return currentBatch != null;
  }

  /** Writes queued batches in order, as long as no write is in progress. */
  void flush(Channel channel) {
    while (currentBatch == null && !queuedBatches.isEmpty() && !connection.isClosed()) {
      RequestBatch batch = queuedBatches.poll();
      long now = context.clock().now();
      if (now >= pool.drainGraceEndsAt()) {
        context.counters().increment("shard.dropped-for-drain");
        pool.completeAll(batch, Outcome.NOT_SENT);
      }
      // The policy may cancel attempts here, which removes them from the batch.
      for (InFlightAttempt attempt : batch.copyOfAttempts()) {
        context.policy().checkClientBeforeWrite(attempt.request());
      }
      if (!batch.isEmpty()) {
        write(channel, batch, now);
      }
    }
  }

  private void write(Channel channel, RequestBatch batch, long now) {
    currentBatch = batch;
    connection.writeStarted(batch, now);
    ByteBuf frame = FrameCodec.encodeBatch(channel.alloc(), batch.attempts(), now);
    batch.setEndPosition(outbound.recordBatch(frame));
    connection.requireDeliveryInKeyWindow(batch);
    channel.writeAndFlush(frame).addListener(writeListener);
  }

  /** Handles the end of a write: the frame was written completely, or the write failed. */
  private void writeCompleted(ChannelFuture write) {
    RequestBatch batch = currentBatch;
    currentBatch = null;
    if (batch == null) {
      return;
    }
    if (!write.isSuccess()) {
      pool.completeAll(batch, Outcome.UNREACHABLE);
      connection.close();
      return;
    }
    for (InFlightAttempt attempt : batch.attempts()) {
      attempt.markSent();
    }
    flush(write.channel());
  }

  /** Drops all queued batches and reports their attempts as not sent. */
  void dropUnwritten() {
    for (RequestBatch batch : List.copyOf(queuedBatches)) {
      context.counters().increment("shard.dropped-for-drain");
      pool.completeAll(batch, Outcome.NOT_SENT);
    }
  }
}
