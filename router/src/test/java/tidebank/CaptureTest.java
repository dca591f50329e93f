package tidebank;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tidebank.capture.CaptureRecord;
import tidebank.capture.CaptureRecorder;
import tidebank.capture.CaptureSegments;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Event.Endpoint;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Outcome;
import tidebank.policy.PolicyHarness;

/**
 * Tests that recorded rounds are read back, and that missing ones are reported as gaps or damage.
 */
@Timeout(20)
class CaptureTest {
  @TempDir Path folder;
  private final AtomicLong clock = new AtomicLong(1_000_000);

  private static List<Event> everyEvent(int round) {
    return List.of(
        new Event.EndpointListReceived(
            ListUpdate.SNAPSHOT,
            List.of(new Endpoint("s" + round, 3, EndpointStatus.DRAINING, 17, 1.5))),
        new Event.EndpointListReceived(ListUpdate.WATCH_LOST, List.of()),
        new Event.QueryReceived(
            "a" + round, round, "whole", "caf\u00e9", 4_000_000L, 5_000_000L + round, true, null),
        new Event.ShardRequestReceived("a" + round + ".0", round, 0, 0.25, ""),
        new Event.AttemptCompleted(
            "a" + round + ".0", 1, Outcome.PROTOCOL_ERROR, 1234, true, Map.of("util", 0.5)),
        new Event.ClientDisconnected("a" + round),
        new Event.ShutdownRequested(9_000_000),
        new Event.TimerFired(Long.MAX_VALUE),
        new Event.HealthCheckCompleted("s1", Outcome.TIMED_OUT, 7, Map.of()));
  }

  private static List<Action> everyAction(int round) {
    return List.of(
        new Action.SendAttempt("a.0", "s" + round, 3_000_000),
        new Action.CancelAttempt("a.0", 2),
        new Action.Respond("a", true),
        new Action.Throttle("a", 500),
        new Action.Fail("a"),
        new Action.SetTimer(5000, -3),
        new Action.CheckHealth("s1"),
        new Action.RetireConnections("s2"),
        new Action.WatchEndpoints(true),
        new Action.LogNote("noted"));
  }

  private CaptureRecorder.Config config(int queueCapacity, long segmentBytes, long maxTotalBytes) {
    return new CaptureRecorder.Config(
        folder.resolve("c"), true, queueCapacity, segmentBytes, maxTotalBytes, false);
  }

  private void record(CaptureRecorder.Config config, int rounds) throws IOException {
    try (CaptureRecorder recorder = new CaptureRecorder(config, clock::get)) {
      recorder.policyStarted(new PolicyHarness().settings(), 7);
      for (int i = 0; i < rounds; i++) {
        recorder.roundDecided(clock.addAndGet(1000), everyEvent(i), everyAction(i));
      }
      assertThat(recorder.droppedRounds()).isZero();
    }
  }

  private List<CaptureRecord> readRecords() throws IOException {
    List<CaptureRecord> records = new ArrayList<>();
    for (Path file : CaptureSegments.list(folder.resolve("c"))) {
      records.addAll(CaptureSegments.read(file).records());
    }
    return records;
  }

  /** Guards against fields that are lost or changed between the encoder and the decoder. */
  @Test
  void recordedRoundsAndSettingsAreReadBackUnchanged() throws IOException {
    record(config(1000, 1 << 20, 10 << 20), 50);
    List<CaptureRecord> records = readRecords();
    assertThat(records.get(0))
        .isEqualTo(new CaptureRecord.PolicyStarted(new PolicyHarness().settings(), 7));
    assertThat(records).hasSize(51);
    for (int i = 0; i < 50; i++) {
      CaptureRecord.DecisionRound round = (CaptureRecord.DecisionRound) records.get(i + 1);
      assertThat(round.nowUs()).isEqualTo(1_001_000 + 1000L * i);
      assertThat(round.events()).isEqualTo(everyEvent(i));
      assertThat(round.actions()).isEqualTo(everyAction(i));
    }
    assertThat(((CaptureRecord.DecisionRound) records.get(1)).digest())
        .isNotEqualTo(((CaptureRecord.DecisionRound) records.get(2)).digest());
  }

  /** Guards against records lost, or damage not reported, after a crash that truncates the file. */
  @Test
  void truncatedSegmentIsReadUpToLastCompleteBlock() throws IOException {
    record(config(1000, 1 << 20, 10 << 20), 30);
    Path file = CaptureSegments.list(folder.resolve("c")).get(0);
    byte[] complete = Files.readAllBytes(file);
    List<CaptureRecord> all = readRecords();
    for (int length = 0; length < complete.length; length++) {
      Files.write(file, java.util.Arrays.copyOf(complete, length));
      CaptureSegments.SegmentContent content = CaptureSegments.read(file);
      assertThat(all.subList(0, content.records().size())).isEqualTo(content.records());
      boolean endsAtBlock = content.validBytes() == length && content.validBytes() > 0;
      assertThat(content.damage().isEmpty()).as("truncated at " + length).isEqualTo(endsAtBlock);
    }
  }

  /**
   * Guards against wrong records from a damaged file; each bit flip must fail a checksum or length.
   */
  @Test
  void flippedBitIsReportedAndNeverReadAsData() throws IOException {
    record(config(1000, 1 << 20, 10 << 20), 10);
    Path file = CaptureSegments.list(folder.resolve("c")).get(0);
    byte[] complete = Files.readAllBytes(file);
    List<CaptureRecord> all = readRecords();
    for (int offset = 0; offset < complete.length; offset++) {
      byte[] changed = complete.clone();
      changed[offset] ^= 1 << offset % 8;
      Files.write(file, changed);
      CaptureSegments.SegmentContent content = CaptureSegments.read(file);
      assertThat(content.damage()).as("flipped at " + offset).isNotEmpty();
      assertThat(all.subList(0, content.records().size())).isEqualTo(content.records());
    }
  }

  /** Guards against an event loop blocked by a slow writer, and drops that the capture omits. */
  @Test
  void fullQueueDropsRoundsAndRecordsGapWithoutWaiting() throws IOException {
    // The clock blocks the writer thread at its first record until the test releases it.
    java.util.concurrent.CountDownLatch unblockWriter = new java.util.concurrent.CountDownLatch(1);
    CaptureRecorder recorder =
        new CaptureRecorder(
            config(16, 1 << 20, 10 << 20),
            () -> {
              try {
                unblockWriter.await();
              } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
              }
              return clock.get();
            });
    for (int i = 0; i < 100; i++) {
      recorder.roundDecided(clock.addAndGet(1000), everyEvent(i), everyAction(i));
    }
    long dropped = recorder.droppedRounds();
    assertThat(dropped).isBetween(82L, 84L);
    unblockWriter.countDown();
    while (recorder.queuedItems() > 0) {
      Thread.onSpinWait();
    }
    recorder.roundDecided(clock.addAndGet(1000), List.of(), List.of());
    recorder.close();
    assertThat(countRounds()).isEqualTo(100 - dropped + 1);
    assertThat(sumGaps()).isEqualTo(dropped);
    assertThat(((CaptureRecord.DecisionRound) readRecords().get(readRecords().size() - 1)).events())
        .isEmpty();
  }

  /** Guards against unreported drops when the recorder is closed before another round is queued. */
  @Test
  void roundsDroppedBeforeCloseAreRecordedAsGap() throws IOException {
    java.util.concurrent.CountDownLatch unblockWriter = new java.util.concurrent.CountDownLatch(1);
    CaptureRecorder recorder =
        new CaptureRecorder(
            config(16, 1 << 20, 10 << 20),
            () -> {
              try {
                unblockWriter.await();
              } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
              }
              return clock.get();
            });
    for (int i = 0; i < 40; i++) {
      recorder.roundDecided(clock.addAndGet(1000), everyEvent(i), everyAction(i));
    }
    unblockWriter.countDown();
    recorder.close();
    assertThat(sumGaps())
        .isPositive()
        .isEqualTo(recorder.droppedRounds())
        .isEqualTo(40 - countRounds());
  }

  private long countRounds() throws IOException {
    return readRecords().stream().filter(CaptureRecord.DecisionRound.class::isInstance).count();
  }

  private long sumGaps() throws IOException {
    return readRecords().stream()
        .mapToLong(record -> record instanceof CaptureRecord.Gap gap ? gap.rounds() : 0)
        .sum();
  }

  /**
   * Guards against a recorder that stops, or omits dropped rounds, once its directory is deleted.
   */
  @Test
  void captureResumesWithGapAfterFailedWrites() throws Exception {
    CaptureRecorder recorder = new CaptureRecorder(config(1000, 1 << 20, 10 << 20), clock::get);
    Files.delete(folder.resolve("c"));
    recorder.roundDecided(clock.addAndGet(1000), everyEvent(0), everyAction(0));
    while (recorder.droppedRounds() == 0) {
      clock.addAndGet(600_000);
      Thread.onSpinWait();
    }
    Files.createDirectories(folder.resolve("c"));
    clock.addAndGet(100_000_000);
    recorder.roundDecided(clock.addAndGet(1000), everyEvent(1), everyAction(1));
    recorder.close();
    assertThat(readRecords().get(0)).isEqualTo(new CaptureRecord.Gap(1));
    assertThat(((CaptureRecord.DecisionRound) readRecords().get(1)).events())
        .isEqualTo(everyEvent(1));
  }

  /** Guards against captures that fill the disk over many restarts. */
  @Test
  void oldestSegmentsAreDeletedWithinTotalSize() throws IOException {
    for (int i = 0; i < 40; i++) {
      record(config(1000, 2000, 12_000), 20);
    }
    long bytes = 0;
    List<Path> remaining = CaptureSegments.list(folder.resolve("c"));
    for (Path file : remaining) {
      bytes += Files.size(file);
    }
    assertThat(bytes).isLessThan(12_000 + 4_000);
    assertThat(remaining).hasSizeGreaterThan(1);
    assertThat(remaining.get(remaining.size() - 1).getFileName().toString())
        .isEqualTo("capture-00000039.tbc");
  }
}
