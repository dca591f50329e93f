package tidebank.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import java.util.ArrayDeque;
import java.util.List;
import tidebank.model.Outcome;

/**
 * The write queue of a connection. Netty holds at most one batch that is not completely written.
 * The others wait here, where they can still be dropped and are known not to have executed.
 */
final class BatchWriter {
  private final ShardConnection connection;
  private final ConnectionPool pool;
  private final BackendContext context;
  private final ChannelFutureListener writeListener = this::writeCompleted;
  private final ArrayDeque<RequestBatch> waiting = new ArrayDeque<>();
  private RequestBatch writing;

  BatchWriter(ShardConnection connection, ConnectionPool pool, BackendContext context) {
    this.connection = connection;
    this.pool = pool;
    this.context = context;
  }

  void enqueue(RequestBatch batch) {
    waiting.add(batch);
  }

  /** Removes a batch whose attempts have all completed. */
  void remove(RequestBatch batch) {
    waiting.remove(batch);
  }

  boolean isWriting() {
    return writing != null;
  }

  /** Writes the next batch unless one is still being written. */
  void flush(Channel channel) {
    while (writing == null && !waiting.isEmpty() && !connection.isClosed()) {
      RequestBatch batch = waiting.poll();
      long now = context.clock().now();
      if (now >= pool.refusesNewFrom()) {
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
    writing = batch;
    connection.writing(batch, now);
    channel
        .writeAndFlush(FrameCodec.encodeBatch(channel.alloc(), batch.attempts(), now))
        .addListener(writeListener);
  }

  /** Handles that the frame being written has been written completely, or never will be. */
  private void writeCompleted(ChannelFuture write) {
    RequestBatch batch = writing;
    writing = null;
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

  /** Drops all batches that have not begun to be written. */
  void dropWaiting() {
    for (RequestBatch batch : List.copyOf(waiting)) {
      context.counters().increment("shard.dropped-for-drain");
      pool.completeAll(batch, Outcome.NOT_SENT);
    }
  }
}
