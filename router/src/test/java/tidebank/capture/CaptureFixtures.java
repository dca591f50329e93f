package tidebank.capture;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Event.Endpoint;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Idempotency;
import tidebank.model.Outcome;
import tidebank.model.QueryClass;
import tidebank.model.Settings;

/**
 * The content and the writer of the stored captures in src/test/resources/fixtures/capture. Only a
 * new version of the format requires rewriting them: {@code mvn -o test -pl router -am
 * -Dtest=CaptureFixtures -Dtests.excluded= -Dsurefire.failIfNoSpecifiedTests=false}.
 */
class CaptureFixtures {
  static final Path ROOT = Path.of("src/test/resources/fixtures/capture");
  static final long SEED = 0x8c1f30d27a5be964L;
  private static final int QUEUE_CAPACITY = 1 << 20;
  private static final long SEGMENT_BYTES = 20_000;
  private static final long MAX_TOTAL_BYTES = 1L << 30;

  static Settings settings() {
    Map<String, QueryClass> queryClasses = new LinkedHashMap<>();
    queryClasses.put(
        "whole",
        new QueryClass("whole", Idempotency.IDEMPOTENT, 0, 1_000_000, 3_000_000, 0.1, 1, 1, 0));
    queryClasses.put(
        "part",
        new QueryClass("part", Idempotency.IDEMPOTENT, 0, 800_000, 2_500_000, 0.25, 0.5, 0.9, 0));
    queryClasses.put(
        "keyed",
        new QueryClass("keyed", Idempotency.WITH_KEY, 2_000_000, 900_000, 3_000_000, 0.3, 1, 1, 0));
    queryClasses.put(
        "once",
        new QueryClass(
            "once", Idempotency.NON_IDEMPOTENT, 1_500_000, 700_000, 2_000_000, 0.4, 1, 1, 0));
    queryClasses.put(
        "steps",
        new QueryClass("steps", Idempotency.IDEMPOTENT, 0, 1_200_000, 3_500_000, 0.2, 0.6, 1, 2));
    Map<String, Double> quotas = new LinkedHashMap<>();
    quotas.put("anyone", 12.5);
    quotas.put("caf\u00e9", 3.0);
    return new Settings(
        3,
        1,
        5_000,
        queryClasses,
        quotas,
        0.15,
        new Settings.Layout(8, 6, 2, 3, 400),
        new Settings.Limits(3, true, true, true, true, 500_000, 100, true),
        new Settings.Rules(
            20_000, 10_000_000, 1_000_000, 0.2, 10_000_000, 2.5, 1_000_000, 4, 0.12, 15_000_000));
  }

  /** Returns records of all kinds that contain all kinds of events, actions and outcomes. */
  static List<CaptureRecord> recordsOfEveryKind() {
    List<Event> outcomes =
        List.of(Outcome.values()).stream()
            .<Event>map(
                outcome ->
                    new Event.AttemptCompleted(
                        "a.0",
                        outcome.ordinal(),
                        outcome,
                        1234,
                        outcome.ordinal() % 2 == 0,
                        Map.of("util", 0.5)))
            .toList();
    List<Event> endpointLists =
        List.of(ListUpdate.values()).stream()
            .<Event>map(
                update ->
                    new Event.EndpointListReceived(
                        update,
                        List.of(EndpointStatus.values()).stream()
                            .map(status -> new Endpoint("s" + status.ordinal(), 3, status, 17, 1.5))
                            .toList()))
            .toList();
    List<Event> otherEvents =
        List.of(
            new Event.EndpointListReceived(ListUpdate.WATCH_LOST, List.of()),
            new Event.QueryReceived("a", 1, "whole", "caf\u00e9", 4_000_000, 5_000_000, true, null),
            new Event.QueryReceived("b", -2, "once", "", 4_100_000, 4_500_000, false, "k"),
            new Event.ShardRequestReceived("a.0", 1, 0, 0.25, ""),
            new Event.ClientDisconnected("a"),
            new Event.ShutdownRequested(9_000_000),
            new Event.TimerFired(Long.MAX_VALUE),
            new Event.TimerFired(Long.MIN_VALUE),
            new Event.HealthCheckCompleted("s1", Outcome.TIMED_OUT, 7, Map.of()));
    List<Action> actions =
        List.of(
            new Action.SendAttempt("a.0", "s1", 4_900_000),
            new Action.CancelAttempt("a.0", 2),
            new Action.Respond("a", true),
            new Action.Respond("b", false),
            new Action.Throttle("a", 500),
            new Action.Fail("a"),
            new Action.SetTimer(5000, -3),
            new Action.CheckHealth("s1"),
            new Action.RetireConnections("s2"),
            new Action.WatchEndpoints(true),
            new Action.WatchEndpoints(false),
            new Action.LogNote("noted"));
    return List.of(
        new CaptureRecord.PolicyStarted(settings(), SEED),
        new CaptureRecord.DecisionRound(4_200_000, otherEvents, 0x1234_5678, actions),
        new CaptureRecord.DecisionRound(4_200_500, outcomes, -5, List.of()),
        new CaptureRecord.DecisionRound(4_100_000, endpointLists, 0, null),
        new CaptureRecord.RoundFailed(
            4_300_000, otherEvents, "java.lang.IllegalStateException: as it was"),
        new CaptureRecord.Gap(300),
        new CaptureRecord.PolicyStarted(settings(), -1));
  }

  @Test
  @Tag("fixture-writer")
  void write() throws IOException {
    Path everyKind = Files.createDirectories(ROOT.resolve("every-kind"));
    Files.deleteIfExists(everyKind.resolve("capture-00000003.tbc"));
    try (CaptureSegments.SegmentWriter writer = new CaptureSegments.SegmentWriter(everyKind, 3)) {
      for (List<CaptureRecord> block :
          List.of(recordsOfEveryKind().subList(0, 4), recordsOfEveryKind().subList(4, 7))) {
        CaptureEncoder encoder = new CaptureEncoder();
        block.forEach(encoder::write);
        writer.writeBlock(encoder.toByteArray());
      }
    }
    String block = new String(encode(recordsOfEveryKind().get(0)), StandardCharsets.UTF_8);
    Files.writeString(everyKind.resolve("settings.json"), extractSettingsJson(block));
    record("digest", false, 150, 11);
    record("whole", true, 150, 12);
    record("busy", false, 4000, 13);
  }

  private static byte[] encode(CaptureRecord record) {
    CaptureEncoder encoder = new CaptureEncoder();
    encoder.write(record);
    return encoder.toByteArray();
  }

  /**
   * Returns the settings JSON of a block that starts with a {@link CaptureRecord.PolicyStarted}.
   */
  static String extractSettingsJson(String block) {
    return block.substring(block.indexOf('{'), block.lastIndexOf("}}") + 2);
  }

  private static void record(String name, boolean keepActions, int rounds, long seed)
      throws IOException {
    Path directory = ROOT.resolve(name);
    if (Files.isDirectory(directory)) {
      for (Path existing : CaptureSegments.list(directory)) {
        Files.delete(existing);
      }
    }
    CaptureRecorder.Config config =
        new CaptureRecorder.Config(
            directory, keepActions, QUEUE_CAPACITY, SEGMENT_BYTES, MAX_TOTAL_BYTES, false);
    // The clock is constant, so that blocks end by size and do not depend on the machine's speed.
    CaptureRecorder recorder = new CaptureRecorder(config, () -> 0);
    new FaultyClusterSimulation(settings(), SEED, seed, recorder).run(rounds);
    recorder.close(60_000);
    if (recorder.droppedRounds() > 0) {
      throw new IllegalStateException(
          recorder.droppedRounds() + " rounds were dropped: queue full or write failed");
    }
  }
}
