package tidebank.frontend;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/** Forwards the events of a channel to its {@link ClientConnection}. */
final class ClientChannelHandler extends ChannelInboundHandlerAdapter {
  private final ClientConnection connection;

  ClientChannelHandler(ClientConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    connection.established();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      connection.read(message);
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    connection.writabilityChanged();
  }

  /**
   * Closes the connection when the client has closed its side. This event arrives in the pass that
   * reads the end of the stream, before a decision round that would still send attempts for the
   * client; {@link #channelInactive} is only called after that round.
   */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      connection.clientDisconnected();
      context.channel().close();
    } else {
      context.fireUserEventTriggered(event);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
      connection.clientDisconnected();
      context.close();
    } else {
      connection.handleFailure(cause);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    connection.clientDisconnected();
  }
}
