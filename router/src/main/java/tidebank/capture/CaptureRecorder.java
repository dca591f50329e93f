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
 * Records decision rounds to disk. The event loop puts rounds into a bounded queue and never waits
 * for the writer thread, which encodes and writes them. Rounds are dropped while the queue is full
 * or the disk fails; the capture then contains a {@link CaptureRecord.Gap} with their number.
 */
public final class CaptureRecorder implements DecisionLog, AutoCloseable {
  /**
   * The configuration of a recorder.
   *
   * @param directory directory of the segments; created if missing
   * @param keepActions whether actions are stored in full; else only the digest of each round
   * @param queueCapacity maximum number of rounds in the queue
   * @param segmentBytes size at which a new segment starts
   * @param maxTotalBytes total size of all segments above which the oldest are deleted
   * @param syncEveryBlock whether the file is synced after each block; else only when a segment
   *     ends
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
   * A record in the queue of the writer thread.
   *
   * @param actions the actions of a decision round, which the writer thread adds to the record as a
   *     digest or in full; null for other records
   * @param itemCount number of events and actions, counted against the limit of the queue
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
   * Rounds dropped since the last gap record was queued, because the queue was full. On close, the
   * writer thread writes the remaining count as a gap record.
   */
  private final AtomicLong droppedSinceGap = new AtomicLong();

  private volatile boolean closing;

  // Accessed by the writer thread only.
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
   * @param clock monotonic time, in microseconds
   * @throws IOException if the directory cannot be created or listed
   */
  public CaptureRecorder(Config config, LongSupplier clock) throws IOException {
    this.config = config;
    this.clock = clock;
    retention =
        new SegmentRetention(
            SegmentRetention.Limits.of(config.segmentBytes(), config.maxTotalBytes()));
    queue = new ArrayBlockingQueue<>(config.queueCapacity());
    Files.createDirectories(config.directory());
    for (Path existing : CaptureSegments.list(config.directory())) {
      nextSegmentNumber = Math.max(nextSegmentNumber, CaptureSegments.parseNumber(existing) + 1);
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

  private void enqueue(QueuedRecord queued) {
    boolean hasRoom =
        SegmentRetention.hasRoomFor(
            queuedItemCount.get(), queued.itemCount, config.queueCapacity());
    if (hasRoom
        && droppedSinceGap.get() > 0
        && queue.offer(new QueuedRecord(new CaptureRecord.Gap(droppedSinceGap.get()), null, 0))) {
      droppedSinceGap.set(0);
    }
    if (!hasRoom || droppedSinceGap.get() > 0 || !queue.offer(queued)) {
      droppedSinceGap.incrementAndGet();
      droppedRounds.incrementAndGet();
    } else {
      queuedItemCount.addAndGet(queued.itemCount);
    }
  }

  /**
   * Returns the number of rounds that were dropped because the queue was full or the disk failed. A
   * dropped block counts all its records, policy starts and gaps included.
   */
  public long droppedRounds() {
    return droppedRounds.get();
  }

  /** Returns the number of events and actions in the queue. */
  public long queuedItems() {
    return queuedItemCount.get();
  }

  private void run() {
    try {
      while (true) {
        QueuedRecord queued = queue.poll(POLL_MS, TimeUnit.MILLISECONDS);
        if (queued != null) {
          queuedItemCount.addAndGet(-queued.itemCount);
          append(queued);
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
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error failure) {
      LOG.error("capture stopped: writer thread failed", failure);
    }
  }

  private void append(QueuedRecord queued) {
    if (block.length() == 0) {
      blockStartedAtUs = clock.getAsLong();
    }
    CaptureRecord record = queued.record;
    if (record instanceof CaptureRecord.DecisionRound round) {
      record =
          new CaptureRecord.DecisionRound(
              round.nowUs(),
              round.events(),
              ActionDigest.of(queued.actions),
              config.keepActions() ? queued.actions : null);
    }
    block.write(record);
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
    } catch (IOException exception) {
      // Readers report a partly written block as damage. The next write opens a new segment.
      LOG.warn(
          "capture write failed: retry_in_s={} error={}",
          (retention.recordFailure(now) - now) / US_PER_S,
          exception.toString());
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
      } catch (IOException exception) {
        LOG.warn("capture segment not closed cleanly: error={}", exception.toString());
      }
      segment = null;
    }
  }

  private void abandonSegment() {
    try {
      if (segment != null) {
        segment.close();
      }
    } catch (IOException exception) {
      LOG.debug("capture segment not closed after a failed write", exception);
    }
    segment = null;
  }

  /** Writes all queued records and stops the writer thread. Waits at most 1.5 seconds for it. */
  @Override
  public void close() {
    close(CLOSE_TIMEOUT_MS);
  }

  /**
   * Writes all queued records and stops the writer thread. Waits for it until the timeout; if the
   * disk is slower, the last segment may end in an incomplete block, which readers report as
   * damage.
   *
   * @param timeoutMs maximum time to wait, in milliseconds
   */
  public void close(long timeoutMs) {
    closing = true;
    try {
      writer.join(Math.max(1, timeoutMs));
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
