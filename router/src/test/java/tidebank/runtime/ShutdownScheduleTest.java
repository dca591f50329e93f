package tidebank.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import tidebank.metrics.Counters;
import tidebank.model.Idempotency;
import tidebank.model.QueryClass;
import tidebank.model.Settings;

/**
 * The moments of a shutdown against the protocol's: SIGKILL 0.7 s behind the longest query timeout,
 * 3 s at the most.
 */
class ShutdownScheduleTest {
  private static final long MS = 1000;
  private static final long TOLD = 50_000 * MS;

  private static Settings settings(long longestMs) {
    return new Settings(
        2,
        0,
        5 * MS,
        Map.of(
            "a",
            new QueryClass(
                "a", Idempotency.IDEMPOTENT, 0, longestMs * MS / 2, longestMs * MS, 0, 1, 1, 0)),
        Map.of(),
        0,
        new Settings.Layout(1, 1, 1, 1, 0),
        new Settings.Limits(1, false, false, false, false, 0, 10, false),
        new Settings.Rules(0, MS, 0, 0, 0, 1, 0, 0, 0, 0));
  }

  @Test
  void nothingIsLetInThatCouldBeLostAndAllIsAnsweredBeforeSigkill() {
    for (long longestMs : List.of(50L, 800L, 2000L, 3000L, 60_000L)) {
      ShutdownSchedule plan = new ShutdownSchedule(settings(longestMs), TOLD, 0);
      long sigkill = TOLD + (Math.min(longestMs, 3000) + 700) * MS;
      assertThat(plan.stopAcceptingAt()).isBetween(TOLD + 400 * MS, TOLD + 650 * MS);
      assertThat(plan.deadline())
          .isBetween(Math.max(plan.stopAcceptingAt() - 100 * MS, TOLD), sigkill - 150 * MS);
    }
  }

  @Test
  void whoStoodStillReckonsWithASignalAtTheBeginningOfThatAndNeverWithThePast() {
    for (long lateMs : List.of(0L, 300L, 1700L, 2900L, 10_000L)) {
      long now = TOLD + lateMs * MS;
      ShutdownSchedule plan = new ShutdownSchedule(settings(2000), now, lateMs * MS);
      assertThat(plan.stopAcceptingAt())
          .isGreaterThanOrEqualTo(now)
          .isLessThanOrEqualTo(Math.max(now, TOLD + 650 * MS));
      assertThat(plan.deadline())
          .isGreaterThanOrEqualTo(now)
          .isLessThanOrEqualTo(Math.max(now, TOLD + 2550 * MS));
    }
  }

  @Test
  void whatWasDueAndWaitsTellsForHowLongTheLoopStoodStill() throws Exception {
    DefaultEventLoop loop = new DefaultEventLoop();
    Clock clock = new Clock();
    TimerQueue timers = new TimerQueue(loop, clock, new Counters());
    CountDownLatch go = new CountDownLatch(1);
    CountDownLatch rung = new CountDownLatch(1);
    long[] late = new long[3];
    CompletableFuture<Long> set = new CompletableFuture<>();
    loop.execute(
        () -> {
          late[0] = timers.latenessUs();
          // Here, as the loop's thread may start late: a timer for a past time is due when it is
          // set.
          long due = clock.now() + 20 * MS;
          timers.schedule(TimerQueue.timer(() -> late[2] = timers.latenessUs()), due);
          timers.schedule(TimerQueue.timer(rung::countDown), due + 10 * MS);
          set.complete(due);
          try {
            go.await();
          } catch (InterruptedException fault) {
            Thread.currentThread().interrupt();
          }
          late[1] = timers.latenessUs();
        });
    long due = set.get();
    while (clock.now() < due + 100 * MS) {
      Thread.onSpinWait();
    }
    go.countDown();
    rung.await();
    loop.shutdownGracefully();
    assertThat(late[0]).isZero();
    assertThat(late[1]).isGreaterThanOrEqualTo(100 * MS);
    // Also what has just been rung tells of it.
    assertThat(late[2]).isGreaterThanOrEqualTo(100 * MS);
  }
}
