package tidebank.testbed.replay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import tidebank.runtime.Clock;
import tidebank.testbed.account.QueryRecord;
import tidebank.testbed.account.RuleAudit;
import tidebank.testbed.account.ServiceScore;
import tidebank.testbed.deployment.Deployment;
import tidebank.testbed.emulator.EmulatorPayloads;
import tidebank.testbed.replay.ClientRetryPolicy.AttemptResult;
import tidebank.testbed.trace.TraceRow;

/**
 * The clients of a replay: an open loop, in which arrivals never wait for answers. A scan is sent
 * at its intended time or as soon after it as this process can; how late that was is measured, and
 * a scan's time counts from when it was intended. All of it belongs to one event loop; only the
 * reading of the trace has a thread of its own.
 */
final class LoadGenerator {
  private static final int AHEAD = 20_000;
  private static final int BODY_MOST = 4 << 20;

  /**
   * How long after a client's time an answer is still waited for, to tell a late answer from none.
   */
  private static final long PATIENCE_US = 300_000;

  private static final int CONNECTIONS_MOST = 2000;

  /** One gatherer as its clients see it. */
  static final class RouterEndpoint {
    final int index;
    volatile InetSocketAddress address;
    volatile boolean available = true;
    private final Deque<Channel> idle = new ArrayDeque<>();
    private int open;

    RouterEndpoint(int number, InetSocketAddress address) {
      this.index = number;
      this.address = address;
    }
  }

  private static final class Scan {
    final long number;
    final TraceRow row;
    final Deployment.Type type;
    final long intended;
    final long limit;
    final Map<Integer, Double> weights = new HashMap<>();
    final String body;
    long sent = -1;
    int tries;

    Scan(long number, TraceRow row, Deployment.Type type, long intended, int shards) {
      this.number = number;
      this.row = row;
      this.type = type;
      this.intended = intended;
      limit = intended + type.timeoutUs();
      int parts = Math.min(row.parts(), shards);
      StringBuilder ranges = new StringBuilder("{\"ranges\":[");
      for (int place = 0; place < parts; place++) {
        int shard = (row.depot() + place) % shards;
        double weight = parts == row.parts() ? row.weightOf(place) : 1.0 / parts;
        weights.put(shard, weight);
        ranges
            .append(place > 0 ? "," : "")
            .append("{\"range\":")
            .append(shard)
            .append(",\"portion\":")
            .append(String.format(Locale.ROOT, "%.7f", weight))
            .append('}');
      }
      body =
          ranges
              .append("],\"predicate\":\"")
              .append(EmulatorPayloads.queryText(safe(row.key()), row.workUs()))
              .append("\"}")
              .toString();
    }

    private static String safe(String key) {
      return key.replaceAll("[^A-Za-z0-9_.:/-]", "_");
    }
  }

  private final class Try {
    final Scan scan;
    final RouterEndpoint target;
    final String id;
    Channel channel;
    ScheduledFuture<?> timer;
    boolean written;
    boolean over;

    Try(Scan scan, RouterEndpoint target) {
      this.scan = scan;
      this.target = target;
      id = seedText + "-" + Long.toString(scan.number, 36) + "-" + scan.tries;
    }
  }

  private final Deployment site;
  private final List<RouterEndpoint> targets;
  private final ClientRetryPolicy rules;
  private final RuleAudit audit;
  private final Clock clock;
  private final EventLoop loop;
  private final String seedText;
  private final Consumer<QueryRecord> to;
  private final ObjectMapper json = new ObjectMapper();
  private final Bootstrap bootstrap;
  private final BlockingQueue<Scan> ahead = new ArrayBlockingQueue<>(AHEAD);
  private final CompletableFuture<Void> ended = new CompletableFuture<>();
  private final Histogram lateness = new Histogram(TimeUnit.MINUTES.toMicros(10), 3);
  private final Histogram latency = new Histogram(TimeUnit.MINUTES.toMicros(10), 3);
  private volatile boolean read;
  private long startUs;
  private long held;
  private long sentQueries;
  private long turn;

  LoadGenerator(
      Deployment site,
      List<RouterEndpoint> targets,
      ClientRetryPolicy rules,
      RuleAudit audit,
      Clock clock,
      EventLoop loop,
      String seedText,
      Consumer<QueryRecord> to) {
    this.site = site;
    this.targets = targets;
    this.rules = rules;
    this.audit = audit;
    this.clock = clock;
    this.loop = loop;
    this.seedText = seedText;
    this.to = to;
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpClientCodec(),
                            new HttpObjectAggregator(BODY_MOST),
                            new Answers());
                  }
                });
  }

  /**
   * Begins to send rows whose times count from this moment. The future ends when the last has its
   * end.
   */
  CompletableFuture<Void> start(Iterator<TraceRow> rows, long startAtUs) {
    startUs = startAtUs;
    Thread reader =
        new Thread(
            () -> {
              try {
                long number = 0;
                while (rows.hasNext() && !ended.isDone()) {
                  TraceRow row = rows.next();
                  Deployment.Type type = site.types().get(row.tableType());
                  if (type == null) {
                    throw new IOException(
                        "table type \""
                            + row.tableType()
                            + "\" of the trace is none of the site's: "
                            + String.join(", ", site.types().keySet()));
                  }
                  Scan scan =
                      new Scan(number++, row, type, startAtUs + row.timeUs(), site.shards());
                  while (!ahead.offer(scan, 100, TimeUnit.MILLISECONDS)) {
                    if (ended.isDone()) {
                      return;
                    }
                  }
                }
                read = true;
              } catch (Exception fault) {
                ended.completeExceptionally(fault);
              }
            },
            "trace reader");
    reader.setDaemon(true);
    reader.start();
    loop.execute(this::pump);
    return ended;
  }

  void stop() {
    ended.complete(null);
  }

  long sentQueries() {
    return sentQueries;
  }

  Histogram lateness() {
    return lateness;
  }

  Histogram latency() {
    return latency;
  }

  /** Sends what is due, and comes back for the next. */
  private void pump() {
    if (ended.isDone()) {
      return;
    }
    long now = clock.now();
    for (Scan next = ahead.peek(); next != null && next.intended <= now; next = ahead.peek()) {
      ahead.poll();
      held++;
      next.sent = now;
      lateness.recordValue(Math.min(lateness.getHighestTrackableValue(), now - next.intended));
      sentQueries++;
      send(next);
    }
    Scan next = ahead.peek();
    if (next == null && read && held == 0) {
      ended.complete(null);
      return;
    }
    long wait = next == null ? 1000 : Math.max(0, Math.min(next.intended - clock.now(), 50_000));
    loop.schedule(this::pump, wait, TimeUnit.MICROSECONDS);
  }

  private RouterEndpoint target() {
    boolean[] admitted = new boolean[targets.size()];
    for (int i = 0; i < admitted.length; i++) {
      admitted[i] = targets.get(i).available;
    }
    return targets.get(ClientRetryPolicy.selectRouter(turn++, admitted));
  }

  private void send(Scan scan) {
    scan.tries++;
    Try one = new Try(scan, target());
    one.timer =
        loop.schedule(
            () -> over(one, AttemptResult.TIMED_OUT, 0),
            scan.limit + PATIENCE_US - clock.now(),
            TimeUnit.MICROSECONDS);
    Channel idle;
    while ((idle = one.target.idle.pollLast()) != null) {
      if (idle.isActive()) {
        write(one, idle);
        return;
      }
    }
    if (one.target.open >= CONNECTIONS_MOST) {
      over(one, AttemptResult.NOT_REACHED, 0);
      return;
    }
    one.target.open++;
    bootstrap
        .connect(one.target.address)
        .addListener(
            (ChannelFuture connected) -> {
              if (!connected.isSuccess()) {
                one.target.open--;
                over(one, AttemptResult.NOT_REACHED, 0);
                return;
              }
              Channel channel = connected.channel();
              channel
                  .closeFuture()
                  .addListener(
                      closed -> {
                        one.target.open--;
                        one.target.idle.remove(channel);
                      });
              if (one.over) {
                one.target.idle.add(channel);
              } else {
                write(one, channel);
              }
            });
  }

  private void write(Try one, Channel channel) {
    Scan scan = one.scan;
    long now = clock.now();
    long left = scan.limit - now;
    if (left <= 0) {
      one.target.idle.add(channel);
      over(one, AttemptResult.TIMED_OUT, 0);
      return;
    }
    one.channel = channel;
    channel.pipeline().get(Answers.class).current = one;
    ByteBuf body = Unpooled.copiedBuffer(scan.body, StandardCharsets.UTF_8);
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, "/" + scan.type.name(), body);
    request
        .headers()
        .set(HttpHeaderNames.HOST, "replay")
        .set("X-Correlation-Id", one.id)
        .set("X-Account", scan.row.account().isEmpty() ? "nobody" : scan.row.account())
        .set("X-Time-Left", left + "u")
        .setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    if (scan.tries > 1) {
      request.headers().set("X-Repeat", "1");
    }
    // Told before it is written, so that no dispatch of it can be seen first.
    audit.recordQuery(
        one.id,
        one.target.index,
        scan.type.repeat(),
        scan.type.floor(),
        now,
        scan.limit,
        scan.weights);
    channel
        .writeAndFlush(request)
        .addListener(
            written -> {
              one.written = written.isSuccess();
              if (!written.isSuccess()) {
                channel.close();
                over(one, AttemptResult.NOT_REACHED, 0);
              }
            });
  }

  /** A try is over, and with it perhaps the scan. */
  private void over(Try one, AttemptResult came, long holdOffUs) {
    if (one.over) {
      return;
    }
    one.over = true;
    one.timer.cancel(false);
    long now = clock.now();
    if (one.channel != null
        && came != AttemptResult.ANSWERED
        && came != AttemptResult.THROTTLED
        && came != AttemptResult.FAILED) {
      // No answer: the client leaves; whether that was the gatherer's fault is the audit's to say.
      audit.recordResponse(
          one.id,
          now,
          switch (came) {
            case TIMED_OUT -> RuleAudit.Response.NO_RESPONSE;
            case BROKEN_OFF -> RuleAudit.Response.CONNECTION_CLOSED;
            default -> RuleAudit.Response.REQUEST_NOT_SENT;
          },
          Set.of(),
          0,
          false);
      one.channel.close();
    }
    Scan scan = one.scan;
    long again =
        rules.computeRetryTime(
            String.valueOf(scan.number),
            scan.type.repeat(),
            came,
            scan.tries,
            now,
            holdOffUs,
            scan.limit);
    if (again >= 0 && !ended.isDone()) {
      loop.schedule(() -> send(scan), again - now, TimeUnit.MICROSECONDS);
      return;
    }
    QueryRecord.Outcome end =
        switch (came) {
          case ANSWERED -> QueryRecord.Outcome.COMPLETED;
          case THROTTLED -> QueryRecord.Outcome.THROTTLED;
          case FAILED -> QueryRecord.Outcome.ABANDONED;
          case NOT_REACHED -> QueryRecord.Outcome.NOT_REACHED;
          case BROKEN_OFF -> QueryRecord.Outcome.BROKEN_OFF;
          case TIMED_OUT -> QueryRecord.Outcome.TIMED_OUT;
        };
    record(scan, end, now, 0, false);
  }

  private void answered(Try one, double share, boolean whole) {
    one.over = true;
    one.timer.cancel(false);
    long now = clock.now();
    long took = now - one.scan.intended;
    record(
        one.scan,
        took <= one.scan.type.targetUs()
            ? QueryRecord.Outcome.COMPLETED
            : took <= one.scan.type.timeoutUs()
                ? QueryRecord.Outcome.COMPLETED_LATE
                : QueryRecord.Outcome.TIMED_OUT,
        now,
        share,
        whole);
  }

  private void record(Scan scan, QueryRecord.Outcome end, long now, double share, boolean whole) {
    boolean completed =
        end == QueryRecord.Outcome.COMPLETED || end == QueryRecord.Outcome.COMPLETED_LATE;
    long took = now - scan.intended;
    if (completed) {
      latency.recordValue(Math.min(latency.getHighestTrackableValue(), took));
    }
    double earned =
        completed
            ? ServiceScore.computeEarnedBenefit(
                scan.type.benefit(),
                took,
                scan.type.targetUs(),
                scan.type.timeoutUs(),
                scan.type.lateShare(),
                whole,
                share,
                scan.type.partialShare())
            : 0;
    held--;
    to.accept(
        new QueryRecord(
            scan.number,
            scan.type.name(),
            scan.row.account(),
            scan.intended - startUs,
            scan.sent - startUs,
            now - startUs,
            end,
            share,
            whole,
            scan.tries,
            scan.type.benefit(),
            earned));
  }

  /** Reads what comes back on a connection. */
  private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Try current;

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      Try one = current;
      current = null;
      if (one == null) {
        context.close();
        return;
      }
      boolean stays = HttpUtil.isKeepAlive(response);
      int status = response.status().code();
      long now = clock.now();
      if (status == 200) {
        ok(one, response, now);
      } else {
        boolean throttled = status == 429 || status == 503;
        audit.recordResponse(
            one.id,
            now,
            throttled ? RuleAudit.Response.THROTTLED : RuleAudit.Response.FAILED,
            Set.of(),
            0,
            false);
        over(
            one,
            throttled ? AttemptResult.THROTTLED : AttemptResult.FAILED,
            holdOff(response.headers().get("Retry-After")));
      }
      if (stays) {
        one.target.idle.add(context.channel());
      } else {
        context.close();
      }
    }

    private void ok(Try one, FullHttpResponse response, long now) {
      Set<Integer> in = new HashSet<>();
      int wrong = 0;
      boolean whole;
      double share = 0;
      try (ByteBufInputStream body = new ByteBufInputStream(response.content())) {
        JsonNode answer = json.readTree((java.io.InputStream) body);
        whole = answer.path("total").asBoolean();
        for (JsonNode part : answer.path("answers")) {
          int shard = part.path("range").asInt(-1);
          if (part.path("blob")
              .asText()
              .equals(EmulatorPayloads.responseValue(one.id + "." + shard))) {
            if (in.add(shard)) {
              share += one.scan.weights.getOrDefault(shard, 0.0);
            }
          } else {
            wrong++;
          }
        }
      } catch (IOException fault) {
        audit.recordResponse(one.id, now, RuleAudit.Response.FAILED, Set.of(), 0, false);
        over(one, AttemptResult.FAILED, 0);
        return;
      }
      audit.recordResponse(one.id, now, RuleAudit.Response.ANSWERED, in, wrong, whole);
      if (!one.over) {
        answered(one, share, whole);
      }
    }

    private static long holdOff(String seconds) {
      try {
        return seconds == null ? 0 : Math.max(0, Math.round(Double.parseDouble(seconds) * 1e6));
      } catch (NumberFormatException fault) {
        return 0;
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      Try one = current;
      current = null;
      if (one != null) {
        over(one, one.written ? AttemptResult.BROKEN_OFF : AttemptResult.NOT_REACHED, 0);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /**
   * Connections that are still open are closed; to be called on the loop's thread or before its
   * end.
   */
  void close() {
    loop.submit(
            () -> {
              for (RouterEndpoint target : targets) {
                new ArrayList<>(target.idle).forEach(Channel::close);
                target.idle.clear();
              }
            })
        .awaitUninterruptibly();
  }
}
