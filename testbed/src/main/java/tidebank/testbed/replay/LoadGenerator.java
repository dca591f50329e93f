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
 * The open-loop load generator of a replay: arrivals never wait for responses. A query is sent at
 * its intended time or as soon as possible afterwards. The lateness is recorded, and latency counts
 * from the intended time, to avoid coordinated omission. Everything runs on one event loop, except
 * that a separate thread reads the trace.
 */
final class LoadGenerator {
  private static final int MAX_READ_AHEAD = 20_000;
  private static final int MAX_RESPONSE_BYTES = 4 << 20;

  /**
   * How long after its deadline a client still waits for a response, so that the audit can tell a
   * late response from a missing one.
   */
  private static final long LATE_RESPONSE_WAIT_US = 300_000;

  private static final int MAX_CONNECTIONS_PER_ROUTER = 2000;

  /** A router's address, availability and connections, as seen by the clients. */
  static final class RouterEndpoint {
    final int index;
    volatile InetSocketAddress address;
    volatile boolean available = true;
    private final Deque<Channel> idle = new ArrayDeque<>();
    private int openConnections;

    RouterEndpoint(int index, InetSocketAddress address) {
      this.index = index;
      this.address = address;
    }
  }

  /** A query read from the trace, with its request body and the attempts made so far. */
  private static final class Query {
    final long number;
    final TraceRow row;
    final Deployment.Type queryClass;
    final long intendedUs;
    final long deadlineUs;
    final Map<Integer, Double> weightByShard = new HashMap<>();
    final String body;
    long firstSentUs = -1;
    int attempts;

    Query(long number, TraceRow row, Deployment.Type queryClass, long intendedUs, int shards) {
      this.number = number;
      this.row = row;
      this.queryClass = queryClass;
      this.intendedUs = intendedUs;
      deadlineUs = intendedUs + queryClass.timeoutUs();
      int shardCount = Math.min(row.parts(), shards);
      StringBuilder requestBody = new StringBuilder("{\"ranges\":[");
      for (int position = 0; position < shardCount; position++) {
        int shard = (row.depot() + position) % shards;
        double weight = shardCount == row.parts() ? row.weightOf(position) : 1.0 / shardCount;
        weightByShard.put(shard, weight);
        requestBody
            .append(position > 0 ? "," : "")
            .append("{\"range\":")
            .append(shard)
            .append(",\"portion\":")
            .append(String.format(Locale.ROOT, "%.7f", weight))
            .append('}');
      }
      body =
          requestBody
              .append("],\"predicate\":\"")
              .append(EmulatorPayloads.queryText(sanitize(row.key()), row.workUs()))
              .append("\"}")
              .toString();
    }

    private static String sanitize(String key) {
      return key.replaceAll("[^A-Za-z0-9_.:/-]", "_");
    }
  }

  /** A client attempt: one request for a query to one router. */
  private final class Attempt {
    final Query query;
    final RouterEndpoint router;
    final String id;
    Channel channel;
    ScheduledFuture<?> timer;
    boolean written;
    boolean finished;

    Attempt(Query query, RouterEndpoint router) {
      this.query = query;
      this.router = router;
      id = idPrefix + "-" + Long.toString(query.number, 36) + "-" + query.attempts;
    }
  }

  private final Deployment deployment;
  private final List<RouterEndpoint> routers;
  private final ClientRetryPolicy retryPolicy;
  private final RuleAudit audit;
  private final Clock clock;
  private final EventLoop loop;
  private final String idPrefix;
  private final Consumer<QueryRecord> results;
  private final ObjectMapper json = new ObjectMapper();
  private final Bootstrap bootstrap;
  private final BlockingQueue<Query> upcoming = new ArrayBlockingQueue<>(MAX_READ_AHEAD);
  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private final Histogram lateness = new Histogram(TimeUnit.MINUTES.toMicros(10), 3);
  private final Histogram latency = new Histogram(TimeUnit.MINUTES.toMicros(10), 3);
  private volatile boolean traceRead;
  private long startUs;
  private long openQueries;
  private long sentQueries;
  private long attemptCount;

  /**
   * Creates a load generator.
   *
   * @param idPrefix prefix of the correlation IDs of all attempts
   * @param results receives the result of each query, on the event loop
   */
  LoadGenerator(
      Deployment deployment,
      List<RouterEndpoint> routers,
      ClientRetryPolicy retryPolicy,
      RuleAudit audit,
      Clock clock,
      EventLoop loop,
      String idPrefix,
      Consumer<QueryRecord> results) {
    this.deployment = deployment;
    this.routers = routers;
    this.retryPolicy = retryPolicy;
    this.audit = audit;
    this.clock = clock;
    this.loop = loop;
    this.idPrefix = idPrefix;
    this.results = results;
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
                            new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                            new ResponseHandler());
                  }
                });
  }

  /**
   * Starts to send the queries of a trace.
   *
   * @param startAtUs the time to which the rows' times are relative
   * @return completed when the last query has ended or {@link #stop} was called; failed if the
   *     trace can't be read or names an unknown query class
   */
  CompletableFuture<Void> start(Iterator<TraceRow> rows, long startAtUs) {
    startUs = startAtUs;
    Thread reader =
        new Thread(
            () -> {
              try {
                long number = 0;
                while (rows.hasNext() && !done.isDone()) {
                  TraceRow row = rows.next();
                  Deployment.Type queryClass = deployment.types().get(row.tableType());
                  if (queryClass == null) {
                    throw new IOException(
                        "query class \""
                            + row.tableType()
                            + "\" of the trace is not defined in the deployment; defined are "
                            + String.join(", ", deployment.types().keySet()));
                  }
                  Query query =
                      new Query(
                          number++, row, queryClass, startAtUs + row.timeUs(), deployment.shards());
                  while (!upcoming.offer(query, 100, TimeUnit.MILLISECONDS)) {
                    if (done.isDone()) {
                      return;
                    }
                  }
                }
                traceRead = true;
              } catch (Exception fault) {
                done.completeExceptionally(fault);
              }
            },
            "trace reader");
    reader.setDaemon(true);
    reader.start();
    loop.execute(this::sendDueQueries);
    return done;
  }

  /** Stops sending; queries that have not ended get no result. */
  void stop() {
    done.complete(null);
  }

  /** Returns the number of queries sent so far, without retries. */
  long sentQueries() {
    return sentQueries;
  }

  /** Returns the times from the intended time to sending, in microseconds. */
  Histogram lateness() {
    return lateness;
  }

  /** Returns the times from the intended time to the response, in microseconds. */
  Histogram latency() {
    return latency;
  }

  /** Sends the queries that are due and schedules itself for the next one. */
  private void sendDueQueries() {
    if (done.isDone()) {
      return;
    }
    long now = clock.now();
    for (Query next = upcoming.peek();
        next != null && next.intendedUs <= now;
        next = upcoming.peek()) {
      upcoming.poll();
      openQueries++;
      next.firstSentUs = now;
      lateness.recordValue(Math.min(lateness.getHighestTrackableValue(), now - next.intendedUs));
      sentQueries++;
      send(next);
    }
    Query next = upcoming.peek();
    if (next == null && traceRead && openQueries == 0) {
      done.complete(null);
      return;
    }
    long wait = next == null ? 1000 : Math.max(0, Math.min(next.intendedUs - clock.now(), 50_000));
    loop.schedule(this::sendDueQueries, wait, TimeUnit.MICROSECONDS);
  }

  private RouterEndpoint nextRouter() {
    boolean[] available = new boolean[routers.size()];
    for (int i = 0; i < available.length; i++) {
      available[i] = routers.get(i).available;
    }
    return routers.get(ClientRetryPolicy.selectRouter(attemptCount++, available));
  }

  private void send(Query query) {
    query.attempts++;
    Attempt attempt = new Attempt(query, nextRouter());
    attempt.timer =
        loop.schedule(
            () -> finish(attempt, AttemptResult.TIMED_OUT, 0),
            query.deadlineUs + LATE_RESPONSE_WAIT_US - clock.now(),
            TimeUnit.MICROSECONDS);
    Channel idle;
    while ((idle = attempt.router.idle.pollLast()) != null) {
      if (idle.isActive()) {
        write(attempt, idle);
        return;
      }
    }
    if (attempt.router.openConnections >= MAX_CONNECTIONS_PER_ROUTER) {
      finish(attempt, AttemptResult.NOT_REACHED, 0);
      return;
    }
    attempt.router.openConnections++;
    bootstrap
        .connect(attempt.router.address)
        .addListener(
            (ChannelFuture connected) -> {
              if (!connected.isSuccess()) {
                attempt.router.openConnections--;
                finish(attempt, AttemptResult.NOT_REACHED, 0);
                return;
              }
              Channel channel = connected.channel();
              channel
                  .closeFuture()
                  .addListener(
                      closed -> {
                        attempt.router.openConnections--;
                        attempt.router.idle.remove(channel);
                      });
              if (attempt.finished) {
                attempt.router.idle.add(channel);
              } else {
                write(attempt, channel);
              }
            });
  }

  private void write(Attempt attempt, Channel channel) {
    Query query = attempt.query;
    long now = clock.now();
    long remainingUs = query.deadlineUs - now;
    if (remainingUs <= 0) {
      attempt.router.idle.add(channel);
      finish(attempt, AttemptResult.TIMED_OUT, 0);
      return;
    }
    attempt.channel = channel;
    channel.pipeline().get(ResponseHandler.class).pending = attempt;
    ByteBuf body = Unpooled.copiedBuffer(query.body, StandardCharsets.UTF_8);
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, "/" + query.queryClass.name(), body);
    request
        .headers()
        .set(HttpHeaderNames.HOST, "replay")
        .set("X-Correlation-Id", attempt.id)
        .set("X-Account", query.row.account().isEmpty() ? "nobody" : query.row.account())
        .set("X-Time-Left", remainingUs + "u")
        .setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    if (query.attempts > 1) {
      request.headers().set("X-Repeat", "1");
    }
    // Recorded before the request is written, so that the audit sees it before its shard requests.
    audit.recordQuery(
        attempt.id,
        attempt.router.index,
        query.queryClass.repeat(),
        query.queryClass.floor(),
        now,
        query.deadlineUs,
        query.weightByShard);
    channel
        .writeAndFlush(request)
        .addListener(
            written -> {
              attempt.written = written.isSuccess();
              if (!written.isSuccess()) {
                channel.close();
                finish(attempt, AttemptResult.NOT_REACHED, 0);
              }
            });
  }

  /**
   * Ends an attempt without a usable response: schedules a retry, or records the query's result.
   */
  private void finish(Attempt attempt, AttemptResult result, long retryAfterUs) {
    if (attempt.finished) {
      return;
    }
    attempt.finished = true;
    attempt.timer.cancel(false);
    long now = clock.now();
    if (attempt.channel != null
        && result != AttemptResult.ANSWERED
        && result != AttemptResult.THROTTLED
        && result != AttemptResult.FAILED) {
      // Without a response the client closes the connection; the audit decides whether the router
      // is at fault.
      audit.recordResponse(
          attempt.id,
          now,
          switch (result) {
            case TIMED_OUT -> RuleAudit.Response.NO_RESPONSE;
            case BROKEN_OFF -> RuleAudit.Response.CONNECTION_CLOSED;
            default -> RuleAudit.Response.REQUEST_NOT_SENT;
          },
          Set.of(),
          0,
          false);
      attempt.channel.close();
    }
    Query query = attempt.query;
    long retryAtUs =
        retryPolicy.computeRetryTime(
            String.valueOf(query.number),
            query.queryClass.repeat(),
            result,
            query.attempts,
            now,
            retryAfterUs,
            query.deadlineUs);
    if (retryAtUs >= 0 && !done.isDone()) {
      loop.schedule(() -> send(query), retryAtUs - now, TimeUnit.MICROSECONDS);
      return;
    }
    QueryRecord.Outcome outcome =
        switch (result) {
          case ANSWERED -> QueryRecord.Outcome.COMPLETED;
          case THROTTLED -> QueryRecord.Outcome.THROTTLED;
          case FAILED -> QueryRecord.Outcome.ABANDONED;
          case NOT_REACHED -> QueryRecord.Outcome.NOT_REACHED;
          case BROKEN_OFF -> QueryRecord.Outcome.BROKEN_OFF;
          case TIMED_OUT -> QueryRecord.Outcome.TIMED_OUT;
        };
    recordResult(query, outcome, now, 0, false);
  }

  private void recordAnswer(Attempt attempt, double answeredWeight, boolean complete) {
    attempt.finished = true;
    attempt.timer.cancel(false);
    long now = clock.now();
    long latencyUs = now - attempt.query.intendedUs;
    recordResult(
        attempt.query,
        latencyUs <= attempt.query.queryClass.targetUs()
            ? QueryRecord.Outcome.COMPLETED
            : latencyUs <= attempt.query.queryClass.timeoutUs()
                ? QueryRecord.Outcome.COMPLETED_LATE
                : QueryRecord.Outcome.TIMED_OUT,
        now,
        answeredWeight,
        complete);
  }

  private void recordResult(
      Query query, QueryRecord.Outcome outcome, long now, double answeredWeight, boolean complete) {
    boolean completed =
        outcome == QueryRecord.Outcome.COMPLETED || outcome == QueryRecord.Outcome.COMPLETED_LATE;
    long latencyUs = now - query.intendedUs;
    if (completed) {
      latency.recordValue(Math.min(latency.getHighestTrackableValue(), latencyUs));
    }
    double earned =
        completed
            ? ServiceScore.computeEarnedBenefit(
                query.queryClass.benefit(),
                latencyUs,
                query.queryClass.targetUs(),
                query.queryClass.timeoutUs(),
                query.queryClass.lateShare(),
                complete,
                answeredWeight,
                query.queryClass.partialShare())
            : 0;
    openQueries--;
    results.accept(
        new QueryRecord(
            query.number,
            query.queryClass.name(),
            query.row.account(),
            query.intendedUs - startUs,
            query.firstSentUs - startUs,
            now - startUs,
            outcome,
            answeredWeight,
            complete,
            query.attempts,
            query.queryClass.benefit(),
            earned));
  }

  /** Reads the responses on a connection. */
  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Attempt pending;

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      Attempt attempt = pending;
      pending = null;
      if (attempt == null) {
        context.close();
        return;
      }
      boolean keepAlive = HttpUtil.isKeepAlive(response);
      int status = response.status().code();
      long now = clock.now();
      if (status == 200) {
        handleSuccess(attempt, response, now);
      } else {
        boolean throttled = status == 429 || status == 503;
        audit.recordResponse(
            attempt.id,
            now,
            throttled ? RuleAudit.Response.THROTTLED : RuleAudit.Response.FAILED,
            Set.of(),
            0,
            false);
        finish(
            attempt,
            throttled ? AttemptResult.THROTTLED : AttemptResult.FAILED,
            parseRetryAfter(response.headers().get("Retry-After")));
      }
      if (keepAlive) {
        attempt.router.idle.add(context.channel());
      } else {
        context.close();
      }
    }

    private void handleSuccess(Attempt attempt, FullHttpResponse response, long now) {
      Set<Integer> correctShards = new HashSet<>();
      int wrongValues = 0;
      boolean complete;
      double answeredWeight = 0;
      try (ByteBufInputStream body = new ByteBufInputStream(response.content())) {
        JsonNode answer = json.readTree((java.io.InputStream) body);
        complete = answer.path("total").asBoolean();
        for (JsonNode part : answer.path("answers")) {
          int shard = part.path("range").asInt(-1);
          if (part.path("blob")
              .asText()
              .equals(EmulatorPayloads.responseValue(attempt.id + "." + shard))) {
            if (correctShards.add(shard)) {
              answeredWeight += attempt.query.weightByShard.getOrDefault(shard, 0.0);
            }
          } else {
            wrongValues++;
          }
        }
      } catch (IOException fault) {
        audit.recordResponse(attempt.id, now, RuleAudit.Response.FAILED, Set.of(), 0, false);
        finish(attempt, AttemptResult.FAILED, 0);
        return;
      }
      audit.recordResponse(
          attempt.id, now, RuleAudit.Response.ANSWERED, correctShards, wrongValues, complete);
      if (!attempt.finished) {
        recordAnswer(attempt, answeredWeight, complete);
      }
    }

    /** Returns the header's value in microseconds, or 0 if it is absent or not a number. */
    private static long parseRetryAfter(String seconds) {
      try {
        return seconds == null ? 0 : Math.max(0, Math.round(Double.parseDouble(seconds) * 1e6));
      } catch (NumberFormatException fault) {
        return 0;
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      Attempt attempt = pending;
      pending = null;
      if (attempt != null) {
        finish(attempt, attempt.written ? AttemptResult.BROKEN_OFF : AttemptResult.NOT_REACHED, 0);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /**
   * Closes all idle connections. To be called on another thread than the event loop's, while the
   * loop still runs.
   */
  void close() {
    loop.submit(
            () -> {
              for (RouterEndpoint router : routers) {
                new ArrayList<>(router.idle).forEach(Channel::close);
                router.idle.clear();
              }
            })
        .awaitUninterruptibly();
  }
}
