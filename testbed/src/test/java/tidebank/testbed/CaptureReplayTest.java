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
 * Tests that a capture replays to the recorded decisions, and that divergences, damage and missing
 * segments are reported.
 */
class CaptureReplayTest {
  private static final long MS = 1000;

  @TempDir Path folder;
  private long now = 1_000_000;

  private static Settings settings() {
    Map<String, QueryClass> queryClasses = new LinkedHashMap<>();
    queryClasses.put(
        "part",
        new QueryClass("part", Idempotency.IDEMPOTENT, 0, 1000 * MS, 3000 * MS, 0.1, 0.5, 1, 0));
    queryClasses.put(
        "once",
        new QueryClass("once", Idempotency.NON_IDEMPOTENT, 0, 1000 * MS, 3000 * MS, 0.1, 1, 1, 0));
    return new Settings(
        2,
        0,
        5 * MS,
        queryClasses,
        Map.of(),
        0.1,
        new Settings.Layout(8, 6, 2, 1, 0),
        new Settings.Limits(3, true, true, false, true, 500 * MS, 100, false),
        new Settings.Rules(
            20 * MS, 10_000 * MS, 1000 * MS, 0.2, 10_000 * MS, 2, 1000 * MS, 0, 0, 0));
  }

  /**
   * Records rounds of a new policy with completed, overloaded and timed-out attempts. Returns the
   * number of rounds.
   */
  private int recordRounds(CaptureRecorder recorder, long seed, int queries) {
    RoutingPolicy policy = new RoutingPolicy(settings(), seed);
    recorder.policyStarted(settings(), seed);
    SplittableRandom random = new SplittableRandom(seed);
    List<Event> initialEvents = new ArrayList<>();
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      endpoints.add(new Endpoint("s" + i, i, EndpointStatus.IN_SERVICE, 0, 1));
    }
    initialEvents.add(new Event.EndpointListReceived(ListUpdate.CACHED, endpoints));
    List<Action> actions = new ArrayList<>(runRound(policy, recorder, initialEvents));
    Map<String, Integer> attempts = new LinkedHashMap<>();
    int rounds = 1;
    for (int query = 0; query < queries; query++) {
      now += 1 + random.nextInt(20_000);
      List<Event> events = new ArrayList<>();
      for (Action action : actions) {
        if (action instanceof Action.SendAttempt send) {
          int attempt = attempts.merge(send.shardRequest(), 1, Integer::sum) - 1;
          Outcome outcome =
              random.nextInt(5) == 0
                  ? Outcome.OVERLOADED
                  : random.nextInt(9) == 0 ? Outcome.TIMED_OUT : Outcome.COMPLETED;
          events.add(
              new Event.AttemptCompleted(
                  send.shardRequest(),
                  attempt,
                  outcome,
                  1000 + random.nextInt(90_000),
                  false,
                  Map.of()));
        } else if (action instanceof Action.SetTimer timer && timer.delayUs() < 20_000) {
          events.add(new Event.TimerFired(timer.token()));
        }
      }
      String id = "q" + query;
      events.add(
          new Event.QueryReceived(
              id,
              query,
              random.nextInt(4) == 0 ? "once" : "part",
              "",
              now,
              now + 3000 * MS,
              false,
              "k" + query % 7));
      for (int shard = 0; shard < 4; shard++) {
        events.add(new Event.ShardRequestReceived(id + "." + shard, query, shard, 0.25, ""));
      }
      actions = runRound(policy, recorder, events);
      rounds++;
    }
    return rounds;
  }

  private List<Action> runRound(
      RoutingPolicy policy, CaptureRecorder recorder, List<Event> events) {
    List<Action> actions = policy.runRound(now, events);
    recorder.roundDecided(now, events, actions);
    return actions;
  }

  private CaptureRecorder recorder(boolean keepActions, long segmentBytes) throws IOException {
    return new CaptureRecorder(
        new CaptureRecorder.Config(
            folder.resolve("c"), keepActions, 100_000, segmentBytes, 1L << 30, false),
        () -> now);
  }

  private CaptureReplay.Result replay() throws IOException {
    return CaptureReplay.replay(folder.resolve("c"), (number, round, actions) -> {});
  }

  /** Guards against decisions that depend on anything but settings, seed and recorded events. */
  @Test
  void replaysOfCaptureMatchAndHaveEqualResults() throws IOException {
    int rounds;
    try (CaptureRecorder recorder = recorder(false, 1 << 20)) {
      rounds = recordRounds(recorder, 3, 500);
    }
    CaptureReplay.Result first = replay();
    assertThat(first.rounds()).isEqualTo(rounds).isEqualTo(first.matching());
    assertThat(first.damage()).isEmpty();
    assertThat(replay()).isEqualTo(first);
  }

  /** Guards against a divergence that is missed, or reported without the actions of both sides. */
  @Test
  void divergenceReportsRecordedAndReplayedActions() throws IOException {
    try (CaptureRecorder recorder = recorder(true, 1 << 20)) {
      recorder.policyStarted(settings(), 5);
      RoutingPolicy policy = new RoutingPolicy(settings(), 5);
      List<Event> endpointList =
          List.of(
              new Event.EndpointListReceived(
                  ListUpdate.CACHED,
                  List.of(new Endpoint("s0", 0, EndpointStatus.IN_SERVICE, 0, 1))));
      recorder.roundDecided(now, endpointList, policy.runRound(now, endpointList));
      List<Event> queryEvents =
          List.of(
              new Event.QueryReceived("a", 1, "part", "", now, now + 3000 * MS, false, "k"),
              new Event.ShardRequestReceived("a.0", 1, 0, 1, ""));
      // Stands for a build of the policy that throttles this query.
      recorder.roundDecided(now + 5, queryEvents, List.of(new Action.Throttle("a", 0)));
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

  /** Guards against a replay that stops at a failed round or goes on with the state before it. */
  @Test
  void replayResumesAtPolicyRestartAfterFailedRound() throws IOException {
    int rounds;
    try (CaptureRecorder recorder = recorder(false, 1 << 20)) {
      rounds = recordRounds(recorder, 3, 50);
      recorder.roundFailed(now, List.of(), new IllegalStateException("as the test wants it"));
      rounds += recordRounds(recorder, 4, 50);
    }
    CaptureReplay.Result result = replay();
    assertThat(result.matching()).isEqualTo(rounds);
    assertThat(result.policyStarts()).isEqualTo(2);
    assertThat(result.failures()).isEqualTo(1);
  }

  /** Guards against false divergences where a segment is truncated or missing. */
  @Test
  void truncatedOrMissingSegmentsAreReportedAndRestReplays() throws IOException {
    int rounds = 0;
    for (int i = 0; i < 3; i++) {
      // Each recorder starts a new segment.
      try (CaptureRecorder recorder = recorder(false, 1 << 20)) {
        rounds += recordRounds(recorder, 3 + i, 200);
      }
    }
    List<Path> files = CaptureSegments.list(folder.resolve("c"));
    assertThat(files).hasSize(3);
    assertThat(replay().matching()).isEqualTo(rounds);
    byte[] lastSegment = Files.readAllBytes(files.get(2));
    Files.write(files.get(2), java.util.Arrays.copyOf(lastSegment, lastSegment.length - 1));
    CaptureReplay.Result truncated = replay();
    assertThat(truncated.matching()).isEqualTo(truncated.rounds()).isLessThan(rounds);
    assertThat(truncated.damage()).singleElement().asString().contains("cut");
    Files.write(files.get(2), lastSegment);
    Files.delete(files.get(1));
    CaptureReplay.Result incomplete = replay();
    assertThat(incomplete.damage())
        .singleElement()
        .asString()
        .contains("segments before it are missing");
    assertThat(incomplete.matching()).isEqualTo(2L * 201);
    assertThat(incomplete.matches()).isTrue();
    Files.delete(files.get(0));
    assertThat(replay().matching()).isEqualTo(201);
  }

  /** Guards against an empty result for a path that does not exist. */
  @Test
  void missingCaptureIsReported() {
    assertThatThrownBy(this::replay).hasMessageContaining("there is no such capture");
  }
}
