package tidebank.capture;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Settings;

/**
 * Records what a module is told. The loop only puts a turn into a ring of fixed size; a thread of
 * its own packs and writes. What finds no room, or no disk, is missing, and the capture says how
 * much and where. Nothing here ever waits for the loop, or the loop for it.
 */
public final class CaptureRecorder implements DecisionLog, AutoCloseable {
  /**
   * How to record.
   *
   * @param folder where; it is made
   * @param wholeActions whether actions are kept whole, or only a digest of a turn's
   * @param ringTurns turns that may wait for the writer
   * @param segmentBytes size of a segment
   * @param budgetBytes of all segments together
   * @param force whether each block is forced to the disk, or only each segment at its end
   */
  public record Plan(
      Path folder,
      boolean wholeActions,
      int ringTurns,
      long segmentBytes,
      long budgetBytes,
      boolean force) {}

  private static final Logger LOG = LoggerFactory.getLogger(CaptureRecorder.class);
  private static final long POLL_MS = 50;
  private static final long LAST_MS = 1500;

  private record Waiting(CaptureRecord entry, List<Action> actions, int weight) {}

  private final Plan plan;
  private final LongSupplier clock;
  private final SegmentRetention keeping;
  private final BlockingQueue<Waiting> ring;
  private final Thread thread;
  private final AtomicLong lost = new AtomicLong();
  private final AtomicLong waiting = new AtomicLong();

  /**
   * Turns that found no room since the last gap was put into the ring; the last ones are said at
   * the end.
   */
  private final AtomicLong missed = new AtomicLong();

  private volatile boolean closing;

  private CaptureCodec.Encoder block = new CaptureCodec.Encoder();
  private long blockTurns;
  private long blockFrom;
  private CaptureSegments.Writer segment;
  private long segmentFrom;
  private long next;
  private long unwritten;

  /** Starts to record; the clock gives microseconds that never go back. */
  public CaptureRecorder(Plan plan, LongSupplier clock) throws IOException {
    this.plan = plan;
    this.clock = clock;
    keeping =
        new SegmentRetention(SegmentRetention.Bounds.of(plan.segmentBytes(), plan.budgetBytes()));
    ring = new ArrayBlockingQueue<>(plan.ringTurns());
    Files.createDirectories(plan.folder());
    for (Path old : CaptureSegments.in(plan.folder())) {
      next = Math.max(next, CaptureSegments.number(old) + 1);
    }
    thread = new Thread(this::run, "capture");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void started(Settings settings, long seed) {
    put(new Waiting(new CaptureRecord.Started(settings, seed), null, 1));
  }

  @Override
  public void turn(long nowUs, List<Event> events, List<Action> actions) {
    put(
        new Waiting(
            new CaptureRecord.Iteration(nowUs, events, 0, null),
            actions,
            events.size() + actions.size()));
  }

  @Override
  public void failed(long nowUs, List<Event> events, Throwable cause) {
    put(
        new Waiting(
            new CaptureRecord.Failed(nowUs, events, String.valueOf(cause)), null, events.size()));
  }

  private void put(Waiting one) {
    boolean room = SegmentRetention.mayWait(waiting.get(), one.weight, plan.ringTurns());
    if (room
        && missed.get() > 0
        && ring.offer(new Waiting(new CaptureRecord.Gap(missed.get()), null, 0))) {
      missed.set(0);
    }
    if (!room || missed.get() > 0 || !ring.offer(one)) {
      missed.incrementAndGet();
      lost.incrementAndGet();
    } else {
      waiting.addAndGet(one.weight);
    }
  }

  /** Turns that are in no capture, as the ring was full or the disk failed. */
  public long lost() {
    return lost.get();
  }

  /** Events and actions that wait for the writer. */
  public long waiting() {
    return waiting.get();
  }

  private void run() {
    try {
      while (true) {
        Waiting one = ring.poll(POLL_MS, TimeUnit.MILLISECONDS);
        if (one != null) {
          waiting.addAndGet(-one.weight);
          add(one);
        }
        long now = clock.getAsLong();
        if (closing && ring.isEmpty() && missed.get() > 0) {
          block.add(new CaptureRecord.Gap(missed.getAndSet(0)));
        }
        if (keeping.blockIsDue(block.length(), blockFrom, now) || closing && ring.isEmpty()) {
          flush(now);
        }
        if (closing && ring.isEmpty()) {
          end();
          return;
        }
      }
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error fault) {
      LOG.error("the capture ends: its writer failed", fault);
    }
  }

  private void add(Waiting one) {
    if (block.length() == 0) {
      blockFrom = clock.getAsLong();
    }
    CaptureRecord entry = one.entry;
    if (entry instanceof CaptureRecord.Iteration turn) {
      entry =
          new CaptureRecord.Iteration(
              turn.nowUs(),
              turn.events(),
              CaptureCodec.digest(one.actions),
              plan.wholeActions() ? one.actions : null);
    }
    block.add(entry);
    blockTurns++;
  }

  private void flush(long now) {
    if (block.length() == 0) {
      return;
    }
    if (!keeping.mayWrite(now)) {
      drop();
      return;
    }
    try {
      if (segment != null && keeping.segmentIsDue(segment.bytes(), segmentFrom, now)) {
        end();
      }
      if (segment == null) {
        open(now);
      }
      if (unwritten > 0) {
        CaptureCodec.Encoder gap = new CaptureCodec.Encoder();
        gap.add(new CaptureRecord.Gap(unwritten));
        segment.block(gap.bytes());
        unwritten = 0;
      }
      segment.block(block.bytes());
      if (plan.force()) {
        segment.force();
      }
      keeping.wrote();
      block = new CaptureCodec.Encoder();
      blockTurns = 0;
    } catch (IOException fault) {
      // What may stand there in part is told by the reader; the next try begins a new segment.
      LOG.warn(
          "the capture can't be written, tried again in {} s: {}",
          (keeping.failed(now) - now) / 1_000_000,
          fault.toString());
      abandon();
      drop();
    }
  }

  private void drop() {
    unwritten += blockTurns;
    lost.addAndGet(blockTurns);
    block = new CaptureCodec.Encoder();
    blockTurns = 0;
  }

  private void open(long now) throws IOException {
    List<SegmentRetention.Segment> old = new ArrayList<>();
    for (Path file : CaptureSegments.in(plan.folder())) {
      old.add(new SegmentRetention.Segment(CaptureSegments.number(file), Files.size(file)));
    }
    for (SegmentRetention.Segment go : keeping.tooMany(old)) {
      Files.deleteIfExists(CaptureSegments.path(plan.folder(), go.number()));
    }
    segment = new CaptureSegments.Writer(plan.folder(), next++);
    segmentFrom = now;
  }

  private void end() {
    if (segment != null) {
      try {
        segment.force();
        segment.close();
      } catch (IOException fault) {
        LOG.warn("a segment of the capture could not be ended: {}", fault.toString());
      }
      segment = null;
    }
  }

  private void abandon() {
    try {
      if (segment != null) {
        segment.close();
      }
    } catch (IOException fault) {
      LOG.debug("after a failed write the close failed too", fault);
    }
    segment = null;
  }

  /** Writes what waits, within a bounded time. */
  @Override
  public void close() {
    close(LAST_MS);
  }

  /**
   * The same within this many milliseconds; a disk slower than that leaves a torn tail, which the
   * reader tells.
   */
  public void close(long mostMs) {
    closing = true;
    try {
      thread.join(Math.max(1, mostMs));
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
    }
  }
}
