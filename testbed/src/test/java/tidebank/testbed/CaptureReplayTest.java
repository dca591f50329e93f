package tidebank.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tidebank.capture.CaptureRecorder;
import tidebank.capture.CaptureSegments;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Event.Endpoint;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Idempotency;
import tidebank.model.Outcome;
import tidebank.model.QueryClass;
import tidebank.model.Settings;
import tidebank.policy.RoutingPolicy;
import tidebank.testbed.capture.CaptureReplay;

/**
 * A capture drives a fresh module to the same decisions; where it can't, it says so and guesses
 * nothing.
 */
class CaptureReplayTest {
  private static final long MS = 1000;

  @TempDir Path folder;
  private long now = 1_000_000;

  private static Settings settings() {
    Map<String, QueryClass> types = new LinkedHashMap<>();
    types.put(
        "part",
        new QueryClass("part", Idempotency.IDEMPOTENT, 0, 1000 * MS, 3000 * MS, 0.1, 0.5, 1, 0));
    types.put(
        "once",
        new QueryClass("once", Idempotency.NON_IDEMPOTENT, 0, 1000 * MS, 3000 * MS, 0.1, 1, 1, 0));
    return new Settings(
        2,
        0,
        5 * MS,
        types,
        Map.of(),
        0.1,
        new Settings.Layout(8, 6, 2, 1, 0),
        new Settings.Limits(3, true, true, false, true, 500 * MS, 100, false),
        new Settings.Rules(
            20 * MS, 10_000 * MS, 1000 * MS, 0.2, 10_000 * MS, 2, 1000 * MS, 0, 0, 0));
  }

  /**
   * Plays a rough little day through a module and records it; returns how many turns there were.
   */
  private int day(CaptureRecorder recorder, long seed, int scans) {
    RoutingPolicy policy = new RoutingPolicy(settings(), seed);
    recorder.policyStarted(settings(), seed);
    SplittableRandom chance = new SplittableRandom(seed);
    List<Event> list = new ArrayList<>();
    List<Endpoint> lines = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      lines.add(new Endpoint("s" + i, i, EndpointStatus.IN_SERVICE, 0, 1));
    }
    list.add(new Event.EndpointListReceived(ListUpdate.CACHED, lines));
    List<Action> todo = new ArrayList<>(turn(policy, recorder, list));
    Map<String, Integer> tries = new LinkedHashMap<>();
    int turns = 1;
    for (int scan = 0; scan < scans; scan++) {
      now += 1 + chance.nextInt(20_000);
      List<Event> events = new ArrayList<>();
      for (Action action : todo) {
        if (action instanceof Action.SendAttempt send) {
          int number = tries.merge(send.shardRequest(), 1, Integer::sum) - 1;
          Outcome outcome =
              chance.nextInt(5) == 0
                  ? Outcome.OVERLOADED
                  : chance.nextInt(9) == 0 ? Outcome.TIMED_OUT : Outcome.COMPLETED;
          events.add(
              new Event.AttemptCompleted(
                  send.shardRequest(),
                  number,
                  outcome,
                  1000 + chance.nextInt(90_000),
                  false,
                  Map.of()));
        } else if (action instanceof Action.SetTimer timer && timer.delayUs() < 20_000) {
          events.add(new Event.TimerFired(timer.token()));
        }
      }
      String id = "q" + scan;
      events.add(
          new Event.QueryReceived(
              id,
              scan,
              chance.nextInt(4) == 0 ? "once" : "part",
              "",
              now,
              now + 3000 * MS,
              false,
              "k" + scan % 7));
      for (int shard = 0; shard < 4; shard++) {
        events.add(new Event.ShardRequestReceived(id + "." + shard, scan, shard, 0.25, ""));
      }
      todo = turn(policy, recorder, events);
      turns++;
    }
    return turns;
  }

  private List<Action> turn(RoutingPolicy policy, CaptureRecorder recorder, List<Event> events) {
    List<Action> actions = policy.runRound(now, events);
    recorder.roundDecided(now, events, actions);
    return actions;
  }

  private CaptureRecorder recorder(boolean whole, long segment) throws IOException {
    return new CaptureRecorder(
        new CaptureRecorder.Config(folder.resolve("c"), whole, 100_000, segment, 1L << 30, false),
        () -> now);
  }

  private CaptureReplay.Result replay() throws IOException {
    return CaptureReplay.replay(folder.resolve("c"), (number, turn, actions) -> {});
  }

  @Test
  void aCaptureReplaysToTheSameDecisionsTwice() throws IOException {
    int turns;
    try (CaptureRecorder recorder = recorder(false, 1 << 20)) {
      turns = day(recorder, 3, 500);
    }
    CaptureReplay.Result first = replay();
    assertThat(first.rounds()).isEqualTo(turns).isEqualTo(first.matching());
    assertThat(first.damage()).isEmpty();
    assertThat(replay()).isEqualTo(first);
  }

  @Test
  void adecisionThatWentOtherwiseIsNamedWithBothSides() throws IOException {
    try (CaptureRecorder recorder = recorder(true, 1 << 20)) {
      recorder.policyStarted(settings(), 5);
      RoutingPolicy policy = new RoutingPolicy(settings(), 5);
      List<Event> list =
          List.of(
              new Event.EndpointListReceived(
                  ListUpdate.CACHED,
                  List.of(new Endpoint("s0", 0, EndpointStatus.IN_SERVICE, 0, 1))));
      recorder.roundDecided(now, list, policy.runRound(now, list));
      List<Event> scan =
          List.of(
              new Event.QueryReceived("a", 1, "part", "", now, now + 3000 * MS, false, "k"),
              new Event.ShardRequestReceived("a.0", 1, 0, 1, ""));
      // Another build of the module turned it away.
      recorder.roundDecided(now + 5, scan, List.of(new Action.Throttle("a", 0)));
    }
    CaptureReplay.Result result = replay();
    assertThat(result.matches()).isFalse();
    assertThat(result.divergence().round()).isEqualTo(1);
    assertThat(result.divergence().recorded()).containsExactly(new Action.Throttle("a", 0));
    assertThat(result.divergence().replayed())
        .anyMatch(
            action ->
                action instanceof Action.SendAttempt send && send.shardRequest().equals("a.0"));
  }

  @Test
  void afterARestartOfTheModuleItGoesOnFromThere() throws IOException {
    int turns;
    try (CaptureRecorder recorder = recorder(false, 1 << 20)) {
      turns = day(recorder, 3, 50);
      recorder.roundFailed(now, List.of(), new IllegalStateException("as the test wants it"));
      turns += day(recorder, 4, 50);
    }
    CaptureReplay.Result result = replay();
    assertThat(result.matching()).isEqualTo(turns);
    assertThat(result.policyStarts()).isEqualTo(2);
    assertThat(result.failures()).isEqualTo(1);
  }

  @Test
  void aCaptureCutAtItsHeadMiddleOrTailReplaysWhatItCanAndSaysTheRest() throws IOException {
    int turns = 0;
    for (int i = 0; i < 3; i++) {
      // Each recorder begins a segment of its own.
      try (CaptureRecorder recorder = recorder(false, 1 << 20)) {
        turns += day(recorder, 3 + i, 200);
      }
    }
    List<Path> files = CaptureSegments.list(folder.resolve("c"));
    assertThat(files).hasSize(3);
    assertThat(replay().matching()).isEqualTo(turns);
    byte[] tail = Files.readAllBytes(files.get(2));
    Files.write(files.get(2), java.util.Arrays.copyOf(tail, tail.length - 1));
    CaptureReplay.Result cut = replay();
    assertThat(cut.matching()).isEqualTo(cut.rounds()).isLessThan(turns);
    assertThat(cut.damage()).singleElement().asString().contains("cut");
    Files.write(files.get(2), tail);
    Files.delete(files.get(1));
    CaptureReplay.Result holed = replay();
    assertThat(holed.damage())
        .singleElement()
        .asString()
        .contains("segments before it are missing");
    assertThat(holed.matching()).isEqualTo(2L * 201);
    assertThat(holed.matches()).isTrue();
    Files.delete(files.get(0));
    assertThat(replay().matching()).isEqualTo(201);
  }

  @Test
  void noCaptureAtAllIsTold() {
    assertThatThrownBy(this::replay).hasMessageContaining("there is no such capture");
  }
}
