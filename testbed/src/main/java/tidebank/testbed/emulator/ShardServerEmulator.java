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
 * A shard server's stand-in on loopback, from the protocol page. It has a listener of its own for
 * each gatherer, so that what comes is known by who sent it. All of its state belongs to one event
 * loop.
 */
public final class ShardServerEmulator implements ListedServer {
  private static final int FRAME_MOST = 1 << 20;
  private static final long WORK_ABSENT_US = 20_000;

  private record Out(Channel channel, String id) {}

  private final int number;
  private final Deployment site;
  private final int servers;
  private final ServerModel model;
  private final EmulatorLog ledger;
  private final Clock clock;
  private final EventLoop loop;
  private final List<Channel> listeners = new ArrayList<>();
  private final Set<Channel> connections = new HashSet<>();
  private final Map<String, Out> out = new HashMap<>();
  private final InetSocketAddress[] addresses;
  private ScheduledFuture<?> wake;
  private long wakeAt = Long.MAX_VALUE;
  private long runs;
  private boolean refusing;
  private boolean silent;

  /** Server of this number among so many; it stands at the cell of its number. */
  public ShardServerEmulator(
      int number,
      int servers,
      int gatherers,
      Deployment site,
      ServerModel model,
      EmulatorLog ledger,
      Clock clock,
      EventLoop loop) {
    this.number = number;
    this.servers = servers;
    this.site = site;
    this.model = model;
    this.ledger = ledger;
    this.clock = clock;
    this.loop = loop;
    addresses = new InetSocketAddress[gatherers];
  }

  @Override
  public String name() {
    return "s" + number;
  }

  /**
   * Opens the listeners, on ports of the system's choice the first time and on the same ones after
   * that.
   */
  public void open() {
    for (int gatherer = 0; gatherer < addresses.length; gatherer++) {
      int who = gatherer;
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
                              new LengthFieldBasedFrameDecoder(FRAME_MOST, 0, 4, 0, 4),
                              new LengthFieldPrepender(4),
                              new Connection(who));
                    }
                  })
              .bind(
                  addresses[gatherer] == null
                      ? new InetSocketAddress("127.0.0.1", 0)
                      : addresses[gatherer])
              .syncUninterruptibly()
              .channel();
      addresses[gatherer] = (InetSocketAddress) listener.localAddress();
      listeners.add(listener);
    }
  }

  @Override
  public InetSocketAddress address(int gatherer) {
    return addresses[gatherer];
  }

  /** Dies at once: connections are reset, new ones refused, all work is lost. */
  public void kill() {
    loop.execute(
        () -> {
          listeners.forEach(Channel::close);
          listeners.clear();
          for (Channel connection : connections) {
            connection.config().setOption(ChannelOption.SO_LINGER, 0);
            connection.close();
          }
          out.clear();
          model.restart(clock.now());
          refusing = true;
        });
  }

  /** Comes back cold, on the addresses it had. */
  public void back() {
    loop.execute(
        () -> {
          model.restart(clock.now());
          refusing = false;
        });
    open();
  }

  /** Takes no new part; what it has it ends. */
  public void drain() {
    loop.execute(model::drain);
  }

  /** Takes parts and answers none, or answers again. */
  public void silent(boolean wanted) {
    loop.execute(() -> silent = wanted);
  }

  public long runs() {
    return runs;
  }

  private void settle() {
    long now = clock.now();
    for (ServerModel.Done done : model.done(now)) {
      Out waits = out.remove(done.part());
      if (waits != null && !silent) {
        answer(waits, "good", Values.of(waits.id));
      }
    }
    long next = model.nextUs();
    if (next < wakeAt || wakeAt <= now) {
      if (wake != null) {
        wake.cancel(false);
      }
      wakeAt = next;
      wake =
          next == Long.MAX_VALUE
              ? null
              : loop.schedule(this::settle, Math.max(0, next - now), TimeUnit.MICROSECONDS);
    }
  }

  private void answer(Out to, String end, String value) {
    String line =
        to.id
            + " "
            + end
            + " 0 inflight="
            + model.inFlight()
            + ",util="
            + String.format(Locale.ROOT, "%.2f", model.busy())
            + "\n";
    ByteBuf frame = to.channel.alloc().buffer();
    frame.writeByte('q');
    ByteBufUtil.writeAscii(frame, line);
    ByteBufUtil.writeUtf8(frame, value);
    to.channel.writeAndFlush(frame);
  }

  private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
    private final int gatherer;

    Connection(int gatherer) {
      this.gatherer = gatherer;
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
        unusable(context, "empty frame");
        return;
      }
      char letter = (char) frame.readByte();
      switch (letter) {
        case 'm' -> call(context, frame);
        case 'n' -> {
          String id = frame.toString(US_ASCII);
          model.drop(clock.now(), key(id));
          settle();
        }
        case 'o' -> probe(context, letter, "good");
        case 'p' -> probe(context, letter, "inflight=" + model.inFlight());
        default -> unusable(context, "unknown letter");
      }
    }

    private String key(String id) {
      return gatherer + "/" + id;
    }

    private void probe(ChannelHandlerContext context, char letter, String text) {
      ByteBuf frame = context.alloc().buffer().writeByte(letter);
      ByteBufUtil.writeAscii(frame, text);
      context.writeAndFlush(frame);
    }

    private void unusable(ChannelHandlerContext context, String why) {
      ByteBuf frame = context.alloc().buffer().writeByte('r');
      ByteBufUtil.writeAscii(frame, why);
      context.writeAndFlush(frame).addListener(done -> context.close());
    }

    private void call(ChannelHandlerContext context, ByteBuf frame) {
      long now = clock.now();
      while (frame.isReadable()) {
        int end = frame.bytesBefore((byte) '\n');
        String[] words =
            end < 0 ? new String[0] : frame.readCharSequence(end, US_ASCII).toString().split(" ");
        if (words.length != 4 || !words[2].startsWith("d=")) {
          unusable(context, "a part without its line");
          return;
        }
        frame.skipBytes(1);
        int shard;
        long wait;
        int length;
        try {
          shard = Integer.parseInt(words[1]);
          wait = Long.parseLong(words[2].substring(2));
          length = Integer.parseInt(words[3]);
        } catch (NumberFormatException fault) {
          unusable(context, "a part's line with no numbers");
          return;
        }
        if (length < 0 || length > frame.readableBytes()) {
          unusable(context, "a part longer than its frame");
          return;
        }
        String text = frame.readCharSequence(length, UTF_8).toString();
        part(context, words[0], shard, wait, text, now);
      }
      settle();
    }

    private void part(
        ChannelHandlerContext context, String id, int shard, long waitMs, String text, long now) {
      int dot = id.lastIndexOf('.');
      long work = Values.work(text, WORK_ABSENT_US);
      model
          .done(now)
          .forEach(
              done -> {
                Out waits = out.remove(done.part());
                if (waits != null && !silent) {
                  answer(waits, "good", Values.of(waits.id));
                }
              });
      boolean mine = site.holds(number, shard, servers);
      boolean taken = mine && !refusing && model.take(now, key(id), work, now + waitMs * 1000);
      if (taken) {
        runs++;
        out.put(key(id), new Out(context.channel(), id));
      } else {
        answer(new Out(context.channel(), id), mine ? "later" : "bad", "");
      }
      ledger.add(
          new EmulatorLog.Dispatched(
              dot < 0 ? id : id.substring(0, dot),
              shard,
              gatherer,
              number,
              now,
              taken ? RuleAudit.Execution.EXECUTED : RuleAudit.Execution.NOT_EXECUTED));
      double warmth = model.warmth(now);
      if (warmth < 1) {
        ledger.add(new EmulatorLog.Work(number, now, work, model.capacityUsPerS(), warmth));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /** Ends it: listeners and connections. */
  public void close() {
    loop.submit(
            () -> {
              listeners.forEach(Channel::close);
              listeners.clear();
              List.copyOf(connections).forEach(Channel::close);
              if (wake != null) {
                wake.cancel(false);
              }
            })
        .awaitUninterruptibly();
  }

  /** A group of its own for stand-ins, of daemon threads that end with the process. */
  public static void closeAll(List<ShardServerEmulator> all, EventLoopGroup group) {
    all.forEach(ShardServerEmulator::close);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
