package tidebank.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tidebank.config.MalformedInputException;
import tidebank.model.Outcome;
import tidebank.runtime.TimerQueue;

/**
 * One connection to a shard server. At most one frame with parts is in Netty's hands before it is
 * wholly written: the others wait here, where they can still be dropped and are known never to have
 * run.
 */
final class ShardConnection extends SimpleChannelInboundHandler<ByteBuf> {
  private record Probe(byte letter, long askedAt) {}

  private final ConnectionPool server;
  private final ShardClient side;
  private final ArrayDeque<RequestBatch> waiting = new ArrayDeque<>();
  private final Set<RequestBatch> calls = new HashSet<>();
  private final Map<String, InFlightAttempt> out = new HashMap<>();
  private final ArrayDeque<Probe> probes = new ArrayDeque<>();
  private final ChannelFutureListener written = this::written;
  private final TimerQueue.Timer idle = TimerQueue.timer(this::unused);
  private final TimerQueue.Timer probeLate = TimerQueue.timer(this::probeLate);
  private final TimerQueue.Timer neverWhole =
      TimerQueue.timer(() -> spoilt("a frame that never came whole"));
  final FrameDecoder reader;

  /**
   * Parts given up here that may still be answered, and until when that is no surprise; the oldest
   * first.
   */
  private final Map<String, Long> givenUp = new LinkedHashMap<>();

  /** The latest answer, until what was read with it shows that its frame was as long as it said. */
  private FrameCodec.Answer held;

  private Channel channel;
  private RequestBatch writing;
  private boolean up;
  private boolean closed;
  private boolean retired;
  private long lastUsed;

  ShardConnection(ConnectionPool server) {
    this.server = server;
    this.side = server.side;
    this.reader = new FrameDecoder(side.transport.bodyMost() + FrameCodec.LINE_MOST);
  }

  /** Begins to connect, once; what is to be sent was given to it before. */
  void connect() {
    if (channel != null) {
      return;
    }
    ChannelFuture connecting = side.bootstrap(this).connect(server.address);
    channel = connecting.channel();
    connecting.addListener(
        (ChannelFutureListener)
            done -> {
              if (!done.isSuccess()) {
                side.counters.add("shard.connect-failed");
                ended();
              }
            });
  }

  /**
   * Whether a call can be given to it: it is not closing, has a free place, and was used of late.
   */
  boolean hasRoom() {
    return !closed
        && !retired
        && calls.size() < side.transport.maxStreams()
        && (!up || !calls.isEmpty() || side.clock.now() < unusableFrom());
  }

  boolean isIdle() {
    return up && calls.isEmpty() && probes.isEmpty();
  }

  /** It gets no more calls. One that is still coming up is as new as could be wanted. */
  void retire() {
    retired = up;
    if (isIdle()) {
      close();
    }
  }

  /**
   * What is written from the keep-alive on is lost, so the last use is as long before as a
   * connection may take.
   */
  private long unusableFrom() {
    return lastUsed + Math.max(0, side.transport.keepaliveUs() - side.transport.connectTimeoutUs());
  }

  void take(RequestBatch call) {
    side.timers.cancel(idle);
    call.connection = this;
    calls.add(call);
    waiting.add(call);
    if (up) {
      write();
    }
  }

  /** Writes the next call, unless one is still being written. */
  private void write() {
    while (writing == null && !waiting.isEmpty() && !closed) {
      RequestBatch call = waiting.poll();
      long now = side.clock.now();
      if (now >= server.closedFrom) {
        side.counters.add("shard.dropped-for-drain");
        server.endAll(call, Outcome.NOT_SENT);
      }
      // What lapses here leaves the call.
      List.copyOf(call.flights).forEach(inFlight -> side.driver.aboutToWrite(inFlight.request));
      if (call.flights.isEmpty()) {
        continue;
      }
      writing = call;
      for (InFlightAttempt inFlight : call.flights) {
        inFlight.stage = InFlightAttempt.Stage.WRITING;
        out.put(inFlight.request.requestId, inFlight);
      }
      lastUsed = now;
      channel
          .writeAndFlush(FrameCodec.call(channel.alloc(), call.flights, now))
          .addListener(written);
    }
  }

  /** The frame being written is out whole, or never will be. */
  private void written(ChannelFuture done) {
    RequestBatch call = writing;
    writing = null;
    if (call == null) {
      return;
    }
    if (!done.isSuccess()) {
      server.endAll(call, Outcome.UNREACHABLE);
      close();
      return;
    }
    for (InFlightAttempt inFlight : call.flights) {
      inFlight.stage = InFlightAttempt.Stage.OUT;
    }
    write();
  }

  /** A frame that is stuck half way may begin or go on only by leaving the connection open. */
  void stopWriting() {
    if (writing != null) {
      side.counters.add("shard.closed-while-writing");
      close();
    }
  }

  /** Its server may be sent nothing new: what waits is dropped, what is stuck is cut off. */
  void closedToNew() {
    stopWriting();
    dropWaiting();
  }

  /** What was not begun to be written never is. */
  void dropWaiting() {
    for (RequestBatch call : List.copyOf(waiting)) {
      side.counters.add("shard.dropped-for-drain");
      server.endAll(call, Outcome.NOT_SENT);
    }
  }

  /** Tells the shard server that a part written to it is given up, where that is allowed. */
  void giveUp(InFlightAttempt inFlight) {
    long now = side.clock.now();
    givenUp.values().removeIf(until -> until <= now);
    givenUp.put(inFlight.request.requestId, now + side.slowestUs);
    if (side.mayGiveUp && channel.isActive()) {
      lastUsed = side.clock.now();
      channel.writeAndFlush(
          FrameCodec.giveUp(channel.alloc(), inFlight.request.requestId), channel.voidPromise());
    }
  }

  /** A inFlight has ended. */
  void forget(InFlightAttempt inFlight) {
    out.remove(inFlight.request.requestId, inFlight);
    if (inFlight.call.flights.isEmpty()) {
      calls.remove(inFlight.call);
      waiting.remove(inFlight.call);
      if (isIdle() && retired) {
        close();
      } else if (isIdle() && !closed) {
        side.timers.schedule(idle, unusableFrom());
      }
    }
  }

  void probe(byte letter) {
    probes.add(new Probe(letter, side.clock.now()));
    if (probes.size() == 1) {
      awaitProbe();
    }
    if (up) {
      channel.writeAndFlush(FrameCodec.probe(channel.alloc(), letter), channel.voidPromise());
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    channel = context.channel();
    up = true;
    side.counters.add("shard.connections");
    lastUsed = side.clock.now();
    probes.forEach(
        probe ->
            channel.writeAndFlush(
                FrameCodec.probe(channel.alloc(), probe.letter()), channel.voidPromise()));
    write();
    if (isIdle()) {
      side.timers.schedule(idle, unusableFrom());
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame)
      throws MalformedInputException {
    if (closed) {
      return;
    }
    if (!frame.isReadable()) {
      throw new MalformedInputException("a frame without a letter");
    }
    lastUsed = side.clock.now();
    release();
    byte letter = frame.readByte();
    switch (letter) {
      case FrameCodec.ANSWER -> hold(FrameCodec.answer(frame));
      case FrameCodec.PROBE, FrameCodec.PROBE_LOAD -> probed(letter, FrameCodec.text(frame));
      case FrameCodec.UNUSABLE ->
          throw new MalformedInputException(
              "a frame of ours could not be used: " + FrameCodec.text(frame));
      default -> throw new MalformedInputException("an unknown letter " + letter);
    }
  }

  /**
   * While other answers are to come, one counts once the next frame, or the end of what could be
   * read, shows that it ends where its frame says. What follows the last one can't be its fault.
   */
  private void hold(FrameCodec.Answer answer) throws MalformedInputException {
    if (!out.containsKey(answer.id())) {
      if (givenUp.remove(answer.id()) == null) {
        throw new MalformedInputException("an answer to no part that is out here");
      }
      side.counters.add("shard.answers-not-awaited");
    } else {
      held = answer;
      if (out.size() == 1) {
        release();
      }
    }
  }

  private void release() {
    FrameCodec.Answer answer = held;
    held = null;
    InFlightAttempt inFlight = answer == null ? null : out.get(answer.id());
    if (inFlight != null) {
      server.end(inFlight, answer.outcome(), answer.value(), answer.report());
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (closed) {
      return;
    }
    if (!reader.begun()) {
      side.timers.cancel(neverWhole);
      release();
    } else if (isIdle() && givenUp.isEmpty()) {
      spoilt("more than was asked for");
    } else {
      side.timers.schedule(neverWhole, side.clock.now() + side.transport.connectTimeoutUs());
    }
  }

  private void probed(byte letter, String text) throws MalformedInputException {
    Probe probe = probes.poll();
    if (probe == null || probe.letter() != letter) {
      throw new MalformedInputException("an answer to no probe");
    }
    side.timers.cancel(probeLate);
    boolean good = !text.equals("bad");
    side.driver.healthCheckCompleted(
        server.id,
        good ? Outcome.COMPLETED : Outcome.ERROR,
        side.clock.now() - probe.askedAt(),
        good && letter == FrameCodec.PROBE_LOAD ? FrameCodec.report(text) : Map.of());
    if (!probes.isEmpty()) {
      awaitProbe();
    }
  }

  private void awaitProbe() {
    side.timers.schedule(probeLate, side.clock.now() + side.transport.connectTimeoutUs());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof java.io.IOException) || cause instanceof MalformedInputException) {
      spoilt(String.valueOf(cause.getCause() == null ? cause : cause.getCause()));
    }
    close();
  }

  /**
   * What came can't be read, nor what comes after it: whatever is out here has failed and may have
   * run.
   */
  private void spoilt(String why) {
    if (!closed) {
      side.counters.recordFault("shard.spoilt", "server " + server.id + ": " + why);
      held = null;
      for (InFlightAttempt inFlight : List.copyOf(out.values())) {
        if (inFlight.stage == InFlightAttempt.Stage.OUT) {
          server.end(inFlight, Outcome.PROTOCOL_ERROR, null);
        }
      }
      close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    ended();
  }

  void close() {
    if (channel != null) {
      channel.close();
    }
    ended();
  }

  /** Ends what is on it: what was written whole may have run, the rest never did. */
  private void ended() {
    if (closed) {
      return;
    }
    closed = true;
    side.timers.cancel(idle);
    side.timers.cancel(probeLate);
    side.timers.cancel(neverWhole);
    server.removed(this);
    for (RequestBatch call : new ArrayList<>(calls)) {
      for (InFlightAttempt inFlight : List.copyOf(call.flights)) {
        server.end(
            inFlight,
            inFlight.stage == InFlightAttempt.Stage.OUT
                ? Outcome.CONNECTION_LOST
                : Outcome.UNREACHABLE,
            null);
      }
    }
    for (Probe probe : probes) {
      side.driver.healthCheckCompleted(
          server.id,
          up ? Outcome.CONNECTION_LOST : Outcome.UNREACHABLE,
          side.clock.now() - probe.askedAt(),
          Map.of());
    }
    probes.clear();
  }

  private void unused() {
    if (isIdle()) {
      side.counters.add("shard.closed-idle");
      close();
    }
  }

  private void probeLate() {
    Probe late = probes.peek();
    if (late != null) {
      side.driver.healthCheckCompleted(
          server.id, Outcome.TIMED_OUT, side.clock.now() - late.askedAt(), Map.of());
      probes.clear();
      close();
    }
  }
}
