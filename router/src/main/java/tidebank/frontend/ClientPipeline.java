package tidebank.frontend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpUtil;

/** Builds the channel pipeline of a client's connection, from bytes to complete requests. */
final class ClientPipeline {
  private ClientPipeline() {}

  /**
   * Adds the handlers. A connection over the budget gets no aggregator, as its first request is
   * refused once its header is read.
   */
  static void build(
      Channel channel,
      ClientConnection connection,
      FrontendContext context,
      ClientInputScheduler scheduler,
      RequestBodyBudget bodyBudget,
      boolean overBudget) {
    ClientInputHandler input = new ClientInputHandler(connection, context.executor(), scheduler);
    StrictRequestDecoder decoder = new StrictRequestDecoder(input);
    input.setDecoder(decoder);
    connection.setInput(input);
    channel.pipeline().addLast(input, decoder, new HttpResponseEncoder());
    if (!overBudget) {
      int maxBodyBytes = context.config().transport().maxBodyBytes();
      RequestBodyBuffer buffer = new RequestBodyBuffer(connection, bodyBudget, maxBodyBytes);
      connection.setBodyBuffer(buffer);
      channel.pipeline().addLast(buffer, new BodyAggregator(connection, maxBodyBytes));
    }
    channel.pipeline().addLast(new ClientChannelHandler(connection));
  }

  /**
   * Joins requests and their bodies, up to the size limit. An expectation of 100 (Continue) is met
   * or ignored, but not refused: Netty's refusal would overtake responses that are due before it,
   * and the body that follows would be parsed as a request.
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
              && connection.allowsContinueResponse();
      return isMet ? super.newContinueResponse(start, maxContentLength, pipeline) : null;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage message) {
      connection.refuseOversizedBody();
    }
  }
}
