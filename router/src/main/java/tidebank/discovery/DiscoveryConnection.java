package tidebank.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;

/**
 * A connection to discovery with at most one outstanding call. Its listener is not called after
 * {@link #close}.
 */
final class DiscoveryConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
  /** Receives the result of each call. */
  interface Listener {
    /** Handles a response, the content of which is released when this method returns. */
    void responseReceived(FullHttpResponse response);

    /** Handles a failed call; the connection cannot be used again. */
    void callFailed(String reason);
  }

  private final InetSocketAddress address;
  private final Listener listener;
  private String path;
  private Channel channel;
  private boolean closed;

  DiscoveryConnection(InetSocketAddress address, Listener listener) {
    this.address = address;
    this.listener = listener;
  }

  /**
   * Connects and makes the first call.
   *
   * @param maxBodyBytes the maximum size of a response body
   */
  void connectAndCall(Bootstrap bootstrapTemplate, int maxBodyBytes, String firstPath) {
    path = firstPath;
    ChannelFuture connecting =
        bootstrapTemplate.clone().handler(createInitializer(maxBodyBytes)).connect(address);
    channel = connecting.channel();
    connecting.addListener(
        (ChannelFutureListener)
            connected -> {
              if (!connected.isSuccess()) {
                fail(String.valueOf(connected.cause().getMessage()));
              }
            });
  }

  private ChannelInitializer<Channel> createInitializer(int maxBodyBytes) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel created) {
        created
            .pipeline()
            .addLast(
                new HttpClientCodec(),
                new HttpObjectAggregator(maxBodyBytes),
                DiscoveryConnection.this);
      }
    };
  }

  /** Makes the next call, once the previous one was answered. */
  void call(String nextPath) {
    path = nextPath;
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
    request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ':' + address.getPort());
    channel.writeAndFlush(request, channel.voidPromise());
  }

  /** Returns whether the connection can be used for another call after this response. */
  boolean canCallAfter(FullHttpResponse response) {
    return HttpUtil.isKeepAlive(response) && channel.isActive();
  }

  void close() {
    closed = true;
    if (channel != null) {
      channel.close();
    }
  }

  private void fail(String reason) {
    if (!closed) {
      listener.callFailed(reason);
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    if (!closed) {
      call(path);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
    if (closed) {
      return;
    }
    if (response.decoderResult().isFailure()) {
      fail("response is not valid HTTP");
    } else {
      listener.responseReceived(response);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail("connection closed");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(String.valueOf(cause.getMessage()));
    context.close();
  }
}
