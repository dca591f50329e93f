package tidebank.testbed.scale;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** A counter of the bytes of one connection, installed as the first handler of its pipeline. */
final class ByteCounter extends ChannelDuplexHandler {
  private long bytesRead;
  private long bytesWritten;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    bytesRead += ((ByteBuf) message).readableBytes();
    context.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    bytesWritten += ((ByteBuf) message).readableBytes();
    context.write(message, promise);
  }

  long read() {
    return bytesRead;
  }

  long written() {
    return bytesWritten;
  }
}
