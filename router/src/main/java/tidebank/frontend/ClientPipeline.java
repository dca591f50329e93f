package tidebank.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpUtil;

/** Builds the handlers of a client's connection, from bytes to complete requests. */
final class ClientPipeline {
  private ClientPipeline() {}

  /**
   * Adds the handlers. A connection over the budget gets no aggregator, as its first request is
   * refused by its head.
   */
  static void build(
      Channel channel, ClientConnection connection, int maxBodyBytes, boolean overBudget) {
    StrictRequestDecoder decoder = new StrictRequestDecoder();
    channel
        .pipeline()
        .addLast(new RequestStartDetector(connection, decoder), decoder, new HttpResponseEncoder());
    if (!overBudget) {
      channel.pipeline().addLast(new BodyAggregator(connection, maxBodyBytes));
    }
    channel.pipeline().addLast(new ClientChannelHandler(connection));
  }

  /** Tells a connection that a request begins, also one right behind the end of another. */
  private static final class RequestStartDetector extends ChannelInboundHandlerAdapter {
    private final ClientConnection connection;
    private final StrictRequestDecoder decoder;

    RequestStartDetector(ClientConnection connection, StrictRequestDecoder decoder) {
      this.connection = connection;
      this.decoder = decoder;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (!StrictRequestDecoder.isBlank((ByteBuf) message)) {
        connection.requestBegan();
      }
      context.fireChannelRead(message);
      if (decoder.isWithinRequest()) {
        connection.requestBegan();
      }
    }
  }

  /**
   * Collects bodies up to the limit. An expectation of 100 (Continue) is met or ignored: a refusal
   * of Netty's own would overtake responses that are due before it, and the body behind it would be
   * read as a request.
   */
  private static final class BodyAggregator extends HttpObjectAggregator {
    private final ClientConnection connection;

    BodyAggregator(ClientConnection connection, int maxBodyBytes) {
      super(maxBodyBytes);
      this.connection = connection;
    }

    @Override
    protected Object newContinueResponse(
        HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
      boolean isMet =
          HttpUtil.is100ContinueExpected(start)
              && !isContentLengthInvalid(start, maxContentLength)
              && connection.mayContinue();
      return isMet ? super.newContinueResponse(start, maxContentLength, pipeline) : null;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage message) {
      connection.bodyTooLarge();
    }
  }
}
