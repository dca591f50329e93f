package tidebank.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tidebank.model.SeededRandom;
import tidebank.model.Settings;

/**
 * Which listed start times show a restart, and from when its slow start counts, where the clock
 * that the list was written by may have been stepped. Times are in microseconds.
 */
class ServerRestartsTest {
  private static final long SECOND = 1_000_000;
  private static final long HOUR = 3600 * SECOND;
  private static final long NOW = 10 * HOUR;
  private static final long OBJECTIVE = SECOND;

  private final Settings settings = new PolicyHarness().settings();
  private final ServerRestarts restarts =
      new ServerRestarts(settings, OBJECTIVE, new LatencyTracker(OBJECTIVE), new SeededRandom(1));
  private ShardServer server;

  @BeforeEach
  void listServer() {
    server = newServer();
    assertThat(restarts.recordListed(server, NOW - 2 * HOUR, NOW)).isTrue();
    restarts.listApplied(false);
  }

  private ShardServer newServer() {
    return new ShardServer("s0", settings, OBJECTIVE);
  }

  private long slowStartAt() {
    return server.slowStart().startedAt();
  }

  /** Guards against a cold server that gets its full share, as its start looks long ago. */
  @Test
  void startAfterAStepBackCountsFromItsList() {
    assertThat(restarts.recordListed(server, NOW - HOUR, NOW)).isTrue();
    assertThat(slowStartAt()).isEqualTo(NOW);
  }

  /** Guards against a start that is missed, as it looks older than the start before it. */
  @Test
  void startAfterASecondStepBackIsNoticed() {
    restarts.recordListed(server, NOW - HOUR, NOW);
    assertThat(restarts.recordListed(server, NOW - 2 * HOUR, NOW + SECOND)).isTrue();
    assertThat(slowStartAt()).isEqualTo(NOW + SECOND);
  }

  /** Guards against a slow start that lasts an hour longer, as its start lies in the future. */
  @Test
  void startsAfterStepsForwardCountFromTheirLists() {
    restarts.recordListed(server, NOW + HOUR, NOW);
    assertThat(slowStartAt()).isEqualTo(NOW);
    restarts.recordListed(server, NOW + 2 * HOUR, NOW + SECOND);
    assertThat(slowStartAt()).isEqualTo(NOW + SECOND);
  }

  /** Guards against a slow start that begins anew with every list. */
  @Test
  void sameStartListedAgainIsNoRestart() {
    restarts.recordListed(server, NOW - HOUR, NOW);
    assertThat(restarts.recordListed(server, NOW - HOUR, NOW + SECOND)).isFalse();
    assertThat(restarts.recordListed(server, 0, NOW + SECOND)).isFalse();
    assertThat(restarts.recordListed(server, NOW - HOUR, NOW + SECOND)).isFalse();
    assertThat(slowStartAt()).isEqualTo(NOW);
  }

  /**
   * Guards against a server that loses its slow start, or gets another one, by leaving the list.
   */
  @Test
  void serverThatReturnsWithTheSameStartContinuesItsSlowStart() {
    restarts.recordListed(server, NOW - HOUR, NOW);
    server = newServer();
    assertThat(restarts.recordListed(server, NOW - HOUR, NOW + SECOND)).isFalse();
    assertThat(slowStartAt()).isEqualTo(NOW);
  }

  /** Guards against a list that lets a slow start end early which a response has shown before. */
  @Test
  void startThatWasInferredFromAResponseBeginsAnewWithItsList() {
    server.recordUnreachable(NOW);
    restarts.recordResponse(server, NOW + SECOND, NOW + SECOND);
    assertThat(slowStartAt()).isEqualTo(NOW + SECOND);
    restarts.recordListed(server, NOW - HOUR, NOW + 2 * SECOND);
    assertThat(slowStartAt()).isEqualTo(NOW + 2 * SECOND);
  }

  /** Guards against a router that has just started and takes all servers for cold. */
  @Test
  void firstListIsTakenByItsTime() {
    assertThat(slowStartAt()).isEqualTo(NOW - 2 * HOUR);
  }

  /** Guards against a slow start in the future, where the clock was stepped back since. */
  @Test
  void startInTheFutureOfTheFirstListCountsFromTheList() {
    ServerRestarts first =
        new ServerRestarts(settings, OBJECTIVE, new LatencyTracker(OBJECTIVE), new SeededRandom(1));
    server = newServer();
    first.listApplied(true);
    first.recordListed(server, NOW + HOUR, NOW);
    assertThat(slowStartAt()).isEqualTo(NOW);
  }

  /** Guards against slow starts of servers that a list says have started long ago. */
  @Test
  void serverThatStartedLongAgoHasNoSlowStart() {
    ShardServer other = new ShardServer("s1", settings, OBJECTIVE);
    assertThat(restarts.recordListed(other, 0, NOW)).isFalse();
    assertThat(other.slowStart().startedAt()).isZero();
  }

  /** Guards against a replacement under a new name that looks warm after a step back. */
  @Test
  void unknownServerOfALaterListCountsFromThatList() {
    ShardServer other = new ShardServer("s1", settings, OBJECTIVE);
    restarts.recordListed(other, NOW - HOUR, NOW);
    assertThat(other.slowStart().startedAt()).isEqualTo(NOW);
  }
}
