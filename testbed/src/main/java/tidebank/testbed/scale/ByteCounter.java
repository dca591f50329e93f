package tidebank.testbed.scale;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes of one connection; it stands next to the socket. */
final class ByteCounter extends ChannelDuplexHandler {
  private long read;
  private long written;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    read += ((ByteBuf) message).readableBytes();
    context.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    written += ((ByteBuf) message).readableBytes();
    context.write(message, promise);
  }

  long read() {
    return read;
  }

  long written() {
    return written;
  }
}
