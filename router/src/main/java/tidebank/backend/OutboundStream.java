package tidebank.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import tidebank.metrics.Counters;

/**
 * The outgoing bytes of one connection. Closing the connection discards those that may not have
 * reached the server yet.
 */
final class OutboundStream {
  private final Counters counters;
  private final DeliveryTracker delivery;

  /**
   * Creates the stream of a new connection.
   *
   * @param probeTimeoutUs how long the server may take to answer a health check, in microseconds
   */
  OutboundStream(Counters counters, long probeTimeoutUs) {
    this.counters = counters;
    this.delivery = new DeliveryTracker(probeTimeoutUs);
  }

  /** Returns what is known of the delivery of these bytes. */
  DeliveryTracker delivery() {
    return delivery;
  }

  /**
   * Records the write of a frame without requests and returns where the frame ends in the stream.
   */
  long recordWrite(ByteBuf frame) {
    return delivery.recordWrite(FrameDecoder.LENGTH_BYTES + frame.readableBytes());
  }

  /** Records the write of a batch and returns where its frame ends in the stream. */
  long recordBatch(ByteBuf frame) {
    return delivery.recordRequests(FrameDecoder.LENGTH_BYTES + frame.readableBytes());
  }

  /** Records that the server has read the frame that ends here. */
  void recordRead(long endPosition) {
    delivery.recordRead(endPosition);
  }

  /** Returns whether the frame that ends here may not have reached the server's system yet. */
  boolean mayBeUndelivered(long endPosition) {
    return delivery.mayBeUndelivered(endPosition);
  }

  /**
   * Closes the channel. It is reset unless the server is known to have read all requests, as a
   * plain close still delivers what the send buffer holds.
   */
  void close(Channel channel) {
    if (channel.isOpen() && !delivery.areRequestsRead()) {
      resetOnClose(channel);
    }
    channel.close();
  }

  private void resetOnClose(Channel channel) {
    try {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    } catch (ChannelException fault) {
      counters.recordFault("shard.reset-failed", "error=" + fault);
    }
  }
}
