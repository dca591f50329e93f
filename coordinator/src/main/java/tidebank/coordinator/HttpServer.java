package tidebank.coordinator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import tidebank.errors.TidebankException;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.CommandResult;

/**
 * HTTP/1.1 with JSON, as members and operators speak to a steward. A connection has one call at
 * work at a time.
 */
final class HttpServer {
  private static final int BODY = 1 << 16;
  private static final int IDLE_S = 60;

  /** How long a call may wait for news; well under what ends an idle connection. */
  private static final int WAIT_MOST_MS = 30_000;

  /** One is a call at a time; a fleet of a thousand has two each, one of which waits for news. */
  private static final int CONNECTIONS = 4096;

  private final CoordinatorServer steward;
  private final InetSocketAddress address;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  /** Connections that are open; belongs to the one event loop. */
  private int open;

  HttpServer(CoordinatorServer steward, InetSocketAddress address) {
    this.steward = steward;
    this.address = address;
  }

  void listen() throws IOException {
    ChannelFuture binding =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    if (++open > CONNECTIONS) {
                      channel.close();
                    }
                    channel.closeFuture().addListener(closed -> open--);
                    channel
                        .pipeline()
                        .addLast(
                            new IdleStateHandler(0, 0, IDLE_S) {
                              @Override
                              protected void channelIdle(
                                  ChannelHandlerContext context, IdleStateEvent event) {
                                context.close();
                              }
                            },
                            new HttpServerCodec(),
                            new HttpObjectAggregator(BODY),
                            new Calls());
                  }
                })
            .bind(address)
            .awaitUninterruptibly();
    if (!binding.isSuccess()) {
      throw new TidebankException.AddressTaken(
          CoordinatorServer.text(address), binding.cause().getMessage());
    }
  }

  void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      boolean keep = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
      // The next call is read once this one is answered.
      context.channel().config().setAutoRead(false);
      answer(request)
          .whenComplete(
              (body, fault) ->
                  context
                      .executor()
                      .execute(
                          () ->
                              write(
                                  context,
                                  keep,
                                  fault == null ? 200 : status(fault),
                                  fault == null ? body : told(fault))));
    }

    private CompletableFuture<byte[]> answer(FullHttpRequest request) {
      String path = request.uri();
      try {
        if (!request.decoderResult().isSuccess()) {
          throw new TidebankException.MalformedRequest("it is no HTTP/1.1");
        }
        if (path.equals("/fleet/command") && request.method().equals(HttpMethod.POST)) {
          return steward.command(LeaseCodec.readCommand(ByteBufUtil.getBytes(request.content())));
        } else if (path.equals("/fleet/state") && request.method().equals(HttpMethod.GET)) {
          return steward.state();
        } else if (path.startsWith("/fleet/wanted?") && request.method().equals(HttpMethod.GET)) {
          return wanted(new QueryStringDecoder(path));
        } else if (path.equals("/fleet/history") && request.method().equals(HttpMethod.GET)) {
          return steward.history();
        } else if (path.equals("/health/ready") && request.method().equals(HttpMethod.GET)) {
          if (!steward.ready()) {
            throw new TidebankException.NoMajority("no leader is known");
          }
          return CompletableFuture.completedFuture(
              LeaseCodec.write(Map.of("leader", steward.leader())));
        }
        throw new TidebankException.PathUnknown(request.method().name(), path);
      } catch (TidebankException fault) {
        return CompletableFuture.failedFuture(fault);
      }
    }

    private CompletableFuture<byte[]> wanted(QueryStringDecoder query) throws TidebankException {
      String name = query.parameters().getOrDefault("name", List.of("")).get(0);
      String wait = query.parameters().getOrDefault("wait_ms", List.of("0")).get(0);
      if (name.isEmpty() || !wait.matches("\\d{1,5}") || Integer.parseInt(wait) > WAIT_MOST_MS) {
        throw new TidebankException.MalformedRequest(
            "'name' is to be a member's, 'wait_ms' from 0 to " + WAIT_MOST_MS);
      }
      return steward.wanted(name, Integer.parseInt(wait));
    }

    private void write(ChannelHandlerContext context, boolean keep, int status, byte[] body) {
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(status),
              Unpooled.wrappedBuffer(body));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
      if (status == 421 && !steward.leaderAddress().isEmpty()) {
        response.headers().set(HttpHeaderNames.LOCATION, "http://" + steward.leaderAddress());
      }
      HttpUtil.setKeepAlive(response, keep);
      // A client that does not read its answers is not read from.
      context
          .writeAndFlush(response)
          .addListener(
              keep
                  ? (ChannelFutureListener) written -> written.channel().config().setAutoRead(true)
                  : ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /** What kept a call from being decided, as a condition of its own. */
  static TidebankException fault(Throwable thrown) {
    Throwable cause =
        thrown instanceof CompletionException && thrown.getCause() != null
            ? thrown.getCause()
            : thrown;
    return cause instanceof TidebankException known
        ? known
        : new TidebankException.NoMajority(String.valueOf(cause));
  }

  private static int status(Throwable thrown) {
    TidebankException fault = fault(thrown);
    return fault instanceof TidebankException.NotLeading
        ? 421
        : fault instanceof TidebankException.MalformedRequest
            ? 400
            : fault instanceof TidebankException.PathUnknown ? 404 : 503;
  }

  /** What went wrong, in the form of an answer, so that a caller reads one form only. */
  private static byte[] told(Throwable thrown) {
    return LeaseCodec.write(new CommandResult(fault(thrown).details(), null, null, null, 0));
  }
}
