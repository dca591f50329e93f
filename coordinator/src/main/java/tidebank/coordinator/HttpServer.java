package tidebank.coordinator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import tidebank.errors.CoordinatorException;
import tidebank.errors.TidebankException;

/**
 * The coordinator's HTTP/1.1 server, which exchanges JSON with members and operators. Runs on a
 * single event loop and handles one request per connection at a time.
 */
final class HttpServer implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 1 << 16;
  private static final int IDLE_TIMEOUT_S = 60;

  /**
   * Limit of open connections; further ones are closed at once. In a fleet of 1000, each member has
   * two connections, one of them for long polls.
   */
  private static final int MAX_CONNECTIONS = 4096;

  private final HttpRequestHandler handler;
  private final Supplier<Optional<CoordinatorConfig.Peer>> leader;
  private final InetSocketAddress address;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  /** Accessed on the event loop only. */
  private int openConnections;

  /**
   * Creates a server that does not listen yet.
   *
   * @param leader supplies the leader, to which requests received by a follower are redirected
   */
  HttpServer(
      InetSocketAddress address,
      HttpRequestHandler handler,
      Supplier<Optional<CoordinatorConfig.Peer>> leader) {
    this.address = address;
    this.handler = handler;
    this.leader = leader;
  }

  void listen() throws TidebankException {
    ChannelFuture binding =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ConnectionInitializer())
            .bind(address)
            .awaitUninterruptibly();
    if (!binding.isSuccess()) {
      throw new CoordinatorException.AddressTaken(
          address.getHostString() + ':' + address.getPort(), binding.cause().getMessage());
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      if (++openConnections > MAX_CONNECTIONS) {
        channel.close();
      }
      channel.closeFuture().addListener(closed -> openConnections--);
      channel
          .pipeline()
          .addLast(
              new IdleConnectionCloser(),
              new HttpServerCodec(),
              new HttpObjectAggregator(MAX_BODY_BYTES),
              new RequestHandler());
    }
  }

  private static final class IdleConnectionCloser extends IdleStateHandler {
    IdleConnectionCloser() {
      super(0, 0, IDLE_TIMEOUT_S);
    }

    @Override
    protected void channelIdle(ChannelHandlerContext context, IdleStateEvent event) {
      context.close();
    }
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      boolean keepAlive = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
      // Stop reading until this request has been answered.
      context.channel().config().setAutoRead(false);
      handler
          .handle(request)
          .whenComplete(
              (body, failure) ->
                  context.executor().execute(() -> respond(context, keepAlive, body, failure)));
    }

    private void respond(
        ChannelHandlerContext context, boolean keepAlive, byte[] body, Throwable failure) {
      if (failure == null) {
        write(context, keepAlive, HttpResponseStatus.OK, body);
        return;
      }
      TidebankException exception = HttpErrors.toTidebankException(failure);
      write(context, keepAlive, HttpErrors.status(exception), HttpErrors.body(exception));
    }

    private void write(
        ChannelHandlerContext context, boolean keepAlive, HttpResponseStatus status, byte[] body) {
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
      if (status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
        leader
            .get()
            .ifPresent(
                peer ->
                    response
                        .headers()
                        .set(HttpHeaderNames.LOCATION, "http://" + peer.httpAddress()));
      }
      HttpUtil.setKeepAlive(response, keepAlive);
      // Reading resumes after the write: a client that reads no responses can send no requests.
      context
          .writeAndFlush(response)
          .addListener(
              keepAlive
                  ? (ChannelFutureListener) written -> written.channel().config().setAutoRead(true)
                  : ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
