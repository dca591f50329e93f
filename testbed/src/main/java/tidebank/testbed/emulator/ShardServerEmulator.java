package tidebank.testbed.emulator;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import tidebank.runtime.Clock;
import tidebank.testbed.account.RuleAudit;
import tidebank.testbed.deployment.Deployment;

/**
 * Emulates a shard server on loopback with the platform's framed protocol. It has a separate
 * listener for each router, so that the router behind each request is known. Requests and the model
 * are accessed only on one event loop.
 */
public final class ShardServerEmulator implements ListedServer {
  private static final int MAX_FRAME_BYTES = 1 << 20;

  /** Processing time of a request if its query text states none. */
  private static final long DEFAULT_WORK_US = 20_000;

  private record PendingRequest(Channel channel, String id) {}

  private final int number;
  private final Deployment deployment;
  private final int servers;
  private final ServerModel model;
  private final EmulatorLog emulatorLog;
  private final Clock clock;
  private final EventLoop loop;
  private final List<Channel> listeners = new ArrayList<>();
  private final Set<Channel> connections = new HashSet<>();
  private final Map<String, PendingRequest> pending = new HashMap<>();
  private final InetSocketAddress[] addresses;
  private ScheduledFuture<?> wakeup;
  private long wakeupUs = Long.MAX_VALUE;
  private long acceptedRequests;
  private boolean refusing;
  private boolean silent;

  /**
   * Creates a server that does not listen yet.
   *
   * @param number index of the server and its position in the shard layout
   * @param servers total number of servers
   * @param routers number of routers
   * @param emulatorLog records the attempts received and the work received during warm-up
   */
  public ShardServerEmulator(
      int number,
      int servers,
      int routers,
      Deployment deployment,
      ServerModel model,
      EmulatorLog emulatorLog,
      Clock clock,
      EventLoop loop) {
    this.number = number;
    this.servers = servers;
    this.deployment = deployment;
    this.model = model;
    this.emulatorLog = emulatorLog;
    this.clock = clock;
    this.loop = loop;
    addresses = new InetSocketAddress[routers];
  }

  @Override
  public String name() {
    return "s" + number;
  }

  /** Opens the listeners, on free ports the first time and on the same ports after that. */
  public void open() {
    for (int i = 0; i < addresses.length; i++) {
      int router = i;
      Channel listener =
          new ServerBootstrap()
              .group(loop)
              .channel(NioServerSocketChannel.class)
              .option(ChannelOption.SO_REUSEADDR, true)
              .childOption(ChannelOption.TCP_NODELAY, true)
              .childHandler(
                  new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      channel
                          .pipeline()
                          .addLast(
                              new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, 4, 0, 4),
                              new LengthFieldPrepender(4),
                              new ConnectionHandler(router));
                    }
                  })
              .bind(addresses[i] == null ? new InetSocketAddress("127.0.0.1", 0) : addresses[i])
              .syncUninterruptibly()
              .channel();
      addresses[i] = (InetSocketAddress) listener.localAddress();
      listeners.add(listener);
    }
  }

  @Override
  public InetSocketAddress address(int router) {
    return addresses[router];
  }

  /** Simulates a crash: resets connections, refuses new ones and discards all requests. */
  public void kill() {
    loop.execute(
        () -> {
          listeners.forEach(Channel::close);
          listeners.clear();
          for (Channel connection : connections) {
            connection.config().setOption(ChannelOption.SO_LINGER, 0);
            connection.close();
          }
          pending.clear();
          model.restart(clock.now());
          refusing = true;
        });
  }

  /** Starts again after {@link #kill}, on the same addresses, at the beginning of its warm-up. */
  public void restart() {
    loop.execute(
        () -> {
          model.restart(clock.now());
          refusing = false;
        });
    open();
  }

  /** Rejects new requests from now on; accepted ones are completed. */
  public void drain() {
    loop.execute(model::startDraining);
  }

  /**
   * Sets whether the server discards the responses to completed requests while it continues to
   * accept and execute requests.
   */
  public void setSilent(boolean silent) {
    loop.execute(() -> this.silent = silent);
  }

  /** Returns the number of requests accepted so far. */
  public long acceptedRequests() {
    return acceptedRequests;
  }

  /** Responds to all completed requests and schedules the next call for the next completion. */
  private void respondToCompleted() {
    long now = clock.now();
    for (ServerModel.Completion completion : model.pollCompletions(now)) {
      PendingRequest request = pending.remove(completion.requestId());
      if (request != null && !silent) {
        respond(request, "good", EmulatorPayloads.responseValue(request.id));
      }
    }
    long next = model.nextCompletionUs();
    if (next < wakeupUs || wakeupUs <= now) {
      if (wakeup != null) {
        wakeup.cancel(false);
      }
      wakeupUs = next;
      wakeup =
          next == Long.MAX_VALUE
              ? null
              : loop.schedule(
                  this::respondToCompleted, Math.max(0, next - now), TimeUnit.MICROSECONDS);
    }
  }

  private void respond(PendingRequest request, String outcome, String value) {
    String header =
        request.id
            + " "
            + outcome
            + " 0 inflight="
            + model.inFlight()
            + ",util="
            + String.format(Locale.ROOT, "%.2f", model.utilization())
            + "\n";
    ByteBuf frame = request.channel.alloc().buffer();
    frame.writeByte('q');
    ByteBufUtil.writeAscii(frame, header);
    ByteBufUtil.writeUtf8(frame, value);
    request.channel.writeAndFlush(frame);
  }

  private final class ConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final int router;

    ConnectionHandler(int router) {
      this.router = router;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      connections.add(context.channel());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connections.remove(context.channel());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      if (!frame.isReadable()) {
        rejectFrame(context, "empty frame");
        return;
      }
      char frameType = (char) frame.readByte();
      switch (frameType) {
        case 'm' -> handleBatch(context, frame);
        case 'n' -> {
          String id = frame.toString(US_ASCII);
          model.cancel(clock.now(), modelId(id));
          respondToCompleted();
        }
        case 'o' -> respondToHealthCheck(context, frameType, "good");
        case 'p' -> respondToHealthCheck(context, frameType, "inflight=" + model.inFlight());
        default -> rejectFrame(context, "unknown letter");
      }
    }

    /** Returns the id under which the model holds a request; unique among all routers. */
    private String modelId(String id) {
      return router + "/" + id;
    }

    private void respondToHealthCheck(
        ChannelHandlerContext context, char frameType, String status) {
      ByteBuf frame = context.alloc().buffer().writeByte(frameType);
      ByteBufUtil.writeAscii(frame, status);
      context.writeAndFlush(frame);
    }

    /** Reports a malformed frame and closes the connection. */
    private void rejectFrame(ChannelHandlerContext context, String reason) {
      ByteBuf frame = context.alloc().buffer().writeByte('r');
      ByteBufUtil.writeAscii(frame, reason);
      context.writeAndFlush(frame).addListener(sent -> context.close());
    }

    private void handleBatch(ChannelHandlerContext context, ByteBuf frame) {
      long now = clock.now();
      while (frame.isReadable()) {
        int lineEnd = frame.bytesBefore((byte) '\n');
        String[] fields =
            lineEnd < 0
                ? new String[0]
                : frame.readCharSequence(lineEnd, US_ASCII).toString().split(" ");
        if (fields.length != 4 || !fields[2].startsWith("d=")) {
          rejectFrame(context, "a part without its line");
          return;
        }
        frame.skipBytes(1);
        int shard;
        long timeoutMs;
        int length;
        try {
          shard = Integer.parseInt(fields[1]);
          timeoutMs = Long.parseLong(fields[2].substring(2));
          length = Integer.parseInt(fields[3]);
        } catch (NumberFormatException e) {
          rejectFrame(context, "a part's line with no numbers");
          return;
        }
        if (length < 0 || length > frame.readableBytes()) {
          rejectFrame(context, "a part longer than its frame");
          return;
        }
        String text = frame.readCharSequence(length, UTF_8).toString();
        handleShardRequest(context, fields[0], shard, timeoutMs, text, now);
      }
      respondToCompleted();
    }

    private void handleShardRequest(
        ChannelHandlerContext context,
        String id,
        int shard,
        long timeoutMs,
        String text,
        long now) {
      int separator = id.lastIndexOf('.');
      long workUs = EmulatorPayloads.parseWorkUs(text, DEFAULT_WORK_US);
      model
          .pollCompletions(now)
          .forEach(
              completion -> {
                PendingRequest request = pending.remove(completion.requestId());
                if (request != null && !silent) {
                  respond(request, "good", EmulatorPayloads.responseValue(request.id));
                }
              });
      boolean holdsShard = deployment.holds(number, shard, servers);
      boolean accepted =
          holdsShard && !refusing && model.submit(now, modelId(id), workUs, now + timeoutMs * 1000);
      if (accepted) {
        acceptedRequests++;
        pending.put(modelId(id), new PendingRequest(context.channel(), id));
      } else {
        respond(new PendingRequest(context.channel(), id), holdsShard ? "later" : "bad", "");
      }
      emulatorLog.add(
          new EmulatorLog.AttemptReceived(
              separator < 0 ? id : id.substring(0, separator),
              shard,
              router,
              number,
              now,
              accepted ? RuleAudit.Execution.EXECUTED : RuleAudit.Execution.NOT_EXECUTED));
      double capacityShare = model.capacityShare(now);
      if (capacityShare < 1) {
        emulatorLog.add(
            new EmulatorLog.ColdServerWork(
                number, now, workUs, model.capacityUsPerS(), capacityShare));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /** Closes the listeners and connections. */
  public void close() {
    loop.submit(
            () -> {
              listeners.forEach(Channel::close);
              listeners.clear();
              List.copyOf(connections).forEach(Channel::close);
              if (wakeup != null) {
                wakeup.cancel(false);
              }
            })
        .awaitUninterruptibly();
  }

  /**
   * Closes all emulators, then shuts down their event loop group without waiting for its threads.
   * These should be daemon threads, so that they end with the process.
   */
  public static void closeAll(List<ShardServerEmulator> emulators, EventLoopGroup group) {
    emulators.forEach(ShardServerEmulator::close);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
