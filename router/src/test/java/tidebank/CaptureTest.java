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

/** What is recorded is read again, whatever becomes of the disk; what is missing is said. */
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

  private CaptureRecorder.Config plan(int ring, long segment, long budget) {
    return new CaptureRecorder.Config(folder.resolve("c"), true, ring, segment, budget, false);
  }

  private void record(CaptureRecorder.Config plan, int turns) throws IOException {
    try (CaptureRecorder recorder = new CaptureRecorder(plan, clock::get)) {
      recorder.policyStarted(new PolicyHarness().settings(), 7);
      for (int i = 0; i < turns; i++) {
        recorder.roundDecided(clock.addAndGet(1000), everyEvent(i), everyAction(i));
      }
      assertThat(recorder.droppedRounds()).isZero();
    }
  }

  private List<CaptureRecord> read() throws IOException {
    List<CaptureRecord> entries = new ArrayList<>();
    for (Path file : CaptureSegments.list(folder.resolve("c"))) {
      entries.addAll(CaptureSegments.read(file).records());
    }
    return entries;
  }

  @Test
  void everyEventActionAndSettingComesBackAsItWas() throws IOException {
    record(plan(1000, 1 << 20, 10 << 20), 50);
    List<CaptureRecord> entries = read();
    assertThat(entries.get(0))
        .isEqualTo(new CaptureRecord.PolicyStarted(new PolicyHarness().settings(), 7));
    assertThat(entries).hasSize(51);
    for (int i = 0; i < 50; i++) {
      CaptureRecord.DecisionRound turn = (CaptureRecord.DecisionRound) entries.get(i + 1);
      assertThat(turn.nowUs()).isEqualTo(1_001_000 + 1000L * i);
      assertThat(turn.events()).isEqualTo(everyEvent(i));
      assertThat(turn.actions()).isEqualTo(everyAction(i));
    }
    assertThat(((CaptureRecord.DecisionRound) entries.get(1)).digest())
        .isNotEqualTo(((CaptureRecord.DecisionRound) entries.get(2)).digest());
  }

  @Test
  void aFileCutAtAnyByteIsReadUpToItsLastWholeBlock() throws IOException {
    record(plan(1000, 1 << 20, 10 << 20), 30);
    Path file = CaptureSegments.list(folder.resolve("c")).get(0);
    byte[] whole = Files.readAllBytes(file);
    List<CaptureRecord> all = read();
    for (int length = 0; length < whole.length; length++) {
      Files.write(file, java.util.Arrays.copyOf(whole, length));
      CaptureSegments.SegmentContent read = CaptureSegments.read(file);
      assertThat(all.subList(0, read.records().size())).isEqualTo(read.records());
      boolean atAnEnd = read.validBytes() == length && read.validBytes() > 0;
      assertThat(read.damage().isEmpty()).as("cut at " + length).isEqualTo(atAnEnd);
    }
  }

  @Test
  void aBitFlippedAnywhereIsNeverReadAsData() throws IOException {
    record(plan(1000, 1 << 20, 10 << 20), 10);
    Path file = CaptureSegments.list(folder.resolve("c")).get(0);
    byte[] whole = Files.readAllBytes(file);
    List<CaptureRecord> all = read();
    for (int at = 0; at < whole.length; at++) {
      byte[] changed = whole.clone();
      changed[at] ^= 1 << at % 8;
      Files.write(file, changed);
      CaptureSegments.SegmentContent read = CaptureSegments.read(file);
      assertThat(read.damage()).as("flipped at " + at).isNotEmpty();
      assertThat(all.subList(0, read.records().size())).isEqualTo(read.records());
    }
  }

  @Test
  void aFullRingIsAGapThatIsSaidAndNothingWaits() throws IOException {
    // The writer stands still on its first entry: its clock waits for the test.
    java.util.concurrent.CountDownLatch go = new java.util.concurrent.CountDownLatch(1);
    CaptureRecorder recorder =
        new CaptureRecorder(
            plan(16, 1 << 20, 10 << 20),
            () -> {
              try {
                go.await();
              } catch (InterruptedException fault) {
                Thread.currentThread().interrupt();
              }
              return clock.get();
            });
    for (int i = 0; i < 100; i++) {
      recorder.roundDecided(clock.addAndGet(1000), everyEvent(i), everyAction(i));
    }
    long lost = recorder.droppedRounds();
    assertThat(lost).isBetween(82L, 84L);
    go.countDown();
    while (recorder.queuedItems() > 0) {
      Thread.onSpinWait();
    }
    recorder.roundDecided(clock.addAndGet(1000), List.of(), List.of());
    recorder.close();
    assertThat(turns()).isEqualTo(100 - lost + 1);
    assertThat(missing()).isEqualTo(lost);
    assertThat(((CaptureRecord.DecisionRound) read().get(read().size() - 1)).events()).isEmpty();
  }

  @Test
  void whatFoundNoRoomAtTheVeryEndIsSaidToo() throws IOException {
    java.util.concurrent.CountDownLatch go = new java.util.concurrent.CountDownLatch(1);
    CaptureRecorder recorder =
        new CaptureRecorder(
            plan(16, 1 << 20, 10 << 20),
            () -> {
              try {
                go.await();
              } catch (InterruptedException fault) {
                Thread.currentThread().interrupt();
              }
              return clock.get();
            });
    for (int i = 0; i < 40; i++) {
      recorder.roundDecided(clock.addAndGet(1000), everyEvent(i), everyAction(i));
    }
    go.countDown();
    recorder.close();
    assertThat(missing()).isPositive().isEqualTo(recorder.droppedRounds()).isEqualTo(40 - turns());
  }

  private long turns() throws IOException {
    return read().stream().filter(CaptureRecord.DecisionRound.class::isInstance).count();
  }

  private long missing() throws IOException {
    return read().stream()
        .mapToLong(entry -> entry instanceof CaptureRecord.Gap gap ? gap.rounds() : 0)
        .sum();
  }

  @Test
  void aDiskThatFailsIsServedWithoutAndTheCaptureGoesOnWithAGap() throws Exception {
    CaptureRecorder recorder = new CaptureRecorder(plan(1000, 1 << 20, 10 << 20), clock::get);
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
    assertThat(read().get(0)).isEqualTo(new CaptureRecord.Gap(1));
    assertThat(((CaptureRecord.DecisionRound) read().get(1)).events()).isEqualTo(everyEvent(1));
  }

  @Test
  void theBudgetIsKeptAndTheOldestSegmentsGo() throws IOException {
    for (int i = 0; i < 40; i++) {
      record(plan(1000, 2000, 12_000), 20);
    }
    long bytes = 0;
    List<Path> left = CaptureSegments.list(folder.resolve("c"));
    for (Path file : left) {
      bytes += Files.size(file);
    }
    assertThat(bytes).isLessThan(12_000 + 4_000);
    assertThat(left).hasSizeGreaterThan(1);
    assertThat(left.get(left.size() - 1).getFileName().toString())
        .isEqualTo("capture-00000039.tbc");
  }
}
