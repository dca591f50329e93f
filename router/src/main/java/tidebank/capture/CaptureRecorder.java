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
 * Records decision rounds to disk. The event loop only puts a round into a queue of fixed size; a
 * writer thread encodes and writes. Rounds that find no room, or no working disk, are dropped, and
 * the capture says how many and where. The event loop never waits for the writer.
 */
public final class CaptureRecorder implements DecisionLog, AutoCloseable {
  /**
   * How to record.
   *
   * @param directory where the segments go; created if missing
   * @param keepActions whether actions are stored in full, or only the digest of each round's
   * @param queueCapacity rounds that may wait for the writer
   * @param segmentBytes size of a segment
   * @param maxTotalBytes of all segments together
   * @param syncEveryBlock whether each block is forced to the disk, or only each segment at its end
   */
  public record Config(
      Path directory,
      boolean keepActions,
      int queueCapacity,
      long segmentBytes,
      long maxTotalBytes,
      boolean syncEveryBlock) {}

  private static final Logger LOG = LoggerFactory.getLogger(CaptureRecorder.class);
  private static final long POLL_MS = 50;
  private static final long CLOSE_TIMEOUT_MS = 1500;
  private static final long US_PER_S = 1_000_000;

  /**
   * A record on its way to the writer.
   *
   * @param actions of a decision round, digested by the writer; else null
   * @param itemCount events and actions, by which the queue is bounded
   */
  private record QueuedRecord(CaptureRecord record, List<Action> actions, int itemCount) {}

  private final Config config;
  private final LongSupplier clock;
  private final SegmentRetention retention;
  private final BlockingQueue<QueuedRecord> queue;
  private final Thread writer;
  private final AtomicLong droppedRounds = new AtomicLong();
  private final AtomicLong queuedItemCount = new AtomicLong();

  /**
   * Rounds that found no room since the last gap record was queued; the last ones are recorded on
   * close.
   */
  private final AtomicLong droppedSinceGap = new AtomicLong();

  private volatile boolean closing;

  // The writer thread's alone.
  private CaptureEncoder block = new CaptureEncoder();
  private long blockRecordCount;
  private long blockStartedAtUs;
  private CaptureSegments.SegmentWriter segment;
  private long segmentStartedAtUs;
  private long nextSegmentNumber;
  private long droppedBlockRecords;

  /**
   * Starts the writer thread.
   *
   * @param clock microseconds that never go back
   * @throws IOException if the directory can't be created or listed
   */
  public CaptureRecorder(Config config, LongSupplier clock) throws IOException {
    this.config = config;
    this.clock = clock;
    retention =
        new SegmentRetention(
            SegmentRetention.Limits.of(config.segmentBytes(), config.maxTotalBytes()));
    queue = new ArrayBlockingQueue<>(config.queueCapacity());
    Files.createDirectories(config.directory());
    for (Path old : CaptureSegments.list(config.directory())) {
      nextSegmentNumber = Math.max(nextSegmentNumber, CaptureSegments.parseNumber(old) + 1);
    }
    writer = new Thread(this::run, "capture");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void policyStarted(Settings settings, long seed) {
    enqueue(new QueuedRecord(new CaptureRecord.PolicyStarted(settings, seed), null, 1));
  }

  @Override
  public void roundDecided(long nowUs, List<Event> events, List<Action> actions) {
    enqueue(
        new QueuedRecord(
            new CaptureRecord.DecisionRound(nowUs, events, 0, null),
            actions,
            events.size() + actions.size()));
  }

  @Override
  public void roundFailed(long nowUs, List<Event> events, Throwable cause) {
    enqueue(
        new QueuedRecord(
            new CaptureRecord.RoundFailed(nowUs, events, String.valueOf(cause)),
            null,
            events.size()));
  }

  private void enqueue(QueuedRecord item) {
    boolean room =
        SegmentRetention.hasRoomFor(queuedItemCount.get(), item.itemCount, config.queueCapacity());
    if (room
        && droppedSinceGap.get() > 0
        && queue.offer(new QueuedRecord(new CaptureRecord.Gap(droppedSinceGap.get()), null, 0))) {
      droppedSinceGap.set(0);
    }
    if (!room || droppedSinceGap.get() > 0 || !queue.offer(item)) {
      droppedSinceGap.incrementAndGet();
      droppedRounds.incrementAndGet();
    } else {
      queuedItemCount.addAndGet(item.itemCount);
    }
  }

  /** Returns how many rounds are in no capture, as the queue was full or the disk failed. */
  public long droppedRounds() {
    return droppedRounds.get();
  }

  /** Returns how many events and actions wait for the writer. */
  public long queuedItems() {
    return queuedItemCount.get();
  }

  private void run() {
    try {
      while (true) {
        QueuedRecord item = queue.poll(POLL_MS, TimeUnit.MILLISECONDS);
        if (item != null) {
          queuedItemCount.addAndGet(-item.itemCount);
          append(item);
        }
        long now = clock.getAsLong();
        if (closing && queue.isEmpty() && droppedSinceGap.get() > 0) {
          block.write(new CaptureRecord.Gap(droppedSinceGap.getAndSet(0)));
        }
        if (retention.shouldFlushBlock(block.length(), blockStartedAtUs, now)
            || (closing && queue.isEmpty())) {
          flush(now);
        }
        if (closing && queue.isEmpty()) {
          endSegment();
          return;
        }
      }
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error fault) {
      LOG.error("capture stopped: its writer failed", fault);
    }
  }

  private void append(QueuedRecord item) {
    if (block.length() == 0) {
      blockStartedAtUs = clock.getAsLong();
    }
    CaptureRecord entry = item.record;
    if (entry instanceof CaptureRecord.DecisionRound round) {
      entry =
          new CaptureRecord.DecisionRound(
              round.nowUs(),
              round.events(),
              ActionDigest.of(item.actions),
              config.keepActions() ? item.actions : null);
    }
    block.write(entry);
    blockRecordCount++;
  }

  private void flush(long now) {
    if (block.length() == 0) {
      return;
    }
    if (!retention.canWrite(now)) {
      dropBlock();
      return;
    }
    try {
      writeBlock(now);
      retention.recordSuccess();
      startBlock();
    } catch (IOException fault) {
      // The reader reports a block that was written in part; the next attempt starts a new segment.
      LOG.warn(
          "capture write failed: retry_in_s={} error={}",
          (retention.recordFailure(now) - now) / US_PER_S,
          fault.toString());
      abandonSegment();
      dropBlock();
    }
  }

  private void writeBlock(long now) throws IOException {
    if (segment != null && retention.shouldRollSegment(segment.bytes(), segmentStartedAtUs, now)) {
      endSegment();
    }
    if (segment == null) {
      openSegment(now);
    }
    if (droppedBlockRecords > 0) {
      CaptureEncoder gap = new CaptureEncoder();
      gap.write(new CaptureRecord.Gap(droppedBlockRecords));
      segment.writeBlock(gap.toByteArray());
      droppedBlockRecords = 0;
    }
    segment.writeBlock(block.toByteArray());
    if (config.syncEveryBlock()) {
      segment.force();
    }
  }

  private void startBlock() {
    block = new CaptureEncoder();
    blockRecordCount = 0;
  }

  private void dropBlock() {
    droppedBlockRecords += blockRecordCount;
    droppedRounds.addAndGet(blockRecordCount);
    startBlock();
  }

  private void openSegment(long now) throws IOException {
    List<SegmentRetention.Segment> existing = new ArrayList<>();
    for (Path file : CaptureSegments.list(config.directory())) {
      existing.add(
          new SegmentRetention.Segment(CaptureSegments.parseNumber(file), Files.size(file)));
    }
    for (SegmentRetention.Segment expired : retention.segmentsToDelete(existing)) {
      Files.deleteIfExists(CaptureSegments.path(config.directory(), expired.number()));
    }
    segment = new CaptureSegments.SegmentWriter(config.directory(), nextSegmentNumber++);
    segmentStartedAtUs = now;
  }

  private void endSegment() {
    if (segment != null) {
      try {
        segment.force();
        segment.close();
      } catch (IOException fault) {
        LOG.warn("capture segment not closed cleanly: error={}", fault.toString());
      }
      segment = null;
    }
  }

  private void abandonSegment() {
    try {
      if (segment != null) {
        segment.close();
      }
    } catch (IOException fault) {
      LOG.debug("closing the capture segment failed after a failed write", fault);
    }
    segment = null;
  }

  /** Writes what is queued, and waits for it no longer than a bounded time. */
  @Override
  public void close() {
    close(CLOSE_TIMEOUT_MS);
  }

  /**
   * Writes what is queued, and waits for it no longer than the timeout. A slower disk leaves a
   * damaged tail, which readers report.
   *
   * @param timeoutMs in milliseconds
   */
  public void close(long timeoutMs) {
    closing = true;
    try {
      writer.join(Math.max(1, timeoutMs));
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
    }
  }
}
