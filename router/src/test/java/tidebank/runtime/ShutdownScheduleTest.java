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
 * Tests the times of a shutdown against those of the protocol: SIGKILL comes 0.7 s after the
 * longest query timeout, which is taken as at most 3 s.
 */
class ShutdownScheduleTest {
  private static final long MS = 1000;
  private static final long SIGTERM_AT = 50_000 * MS;

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

  /** A request accepted too late, or a response sent too late, would be lost at SIGKILL. */
  @Test
  void acceptingAndRespondingEndEarlyEnoughBeforeSigkill() {
    for (long longestMs : List.of(50L, 800L, 2000L, 3000L, 60_000L)) {
      ShutdownSchedule schedule = new ShutdownSchedule(settings(longestMs), SIGTERM_AT, 0);
      long sigkill = SIGTERM_AT + (Math.min(longestMs, 3000) + 700) * MS;
      assertThat(schedule.stopAcceptingAt())
          .isBetween(SIGTERM_AT + 400 * MS, SIGTERM_AT + 650 * MS);
      assertThat(schedule.deadline())
          .isBetween(
              Math.max(schedule.stopAcceptingAt() - 100 * MS, SIGTERM_AT), sigkill - 150 * MS);
    }
  }

  /** A stalled process handles SIGTERM late; its schedule must still end before SIGKILL. */
  @Test
  void aStalledProcessAssumesTheSignalCameWhenTheStallBegan() {
    for (long lateMs : List.of(0L, 300L, 1700L, 2900L, 10_000L)) {
      long now = SIGTERM_AT + lateMs * MS;
      ShutdownSchedule schedule = new ShutdownSchedule(settings(2000), now, lateMs * MS);
      assertThat(schedule.stopAcceptingAt())
          .isGreaterThanOrEqualTo(now)
          .isLessThanOrEqualTo(Math.max(now, SIGTERM_AT + 650 * MS));
      assertThat(schedule.deadline())
          .isGreaterThanOrEqualTo(now)
          .isLessThanOrEqualTo(Math.max(now, SIGTERM_AT + 2550 * MS));
    }
  }

  /** The schedule depends on the lateness of timers to detect that the event loop was stalled. */
  @Test
  void lateTimersShowHowLongTheEventLoopWasStalled() throws Exception {
    DefaultEventLoop loop = new DefaultEventLoop();
    Clock clock = new Clock();
    TimerQueue timers = new TimerQueue(loop, clock, new Counters());
    CountDownLatch resume = new CountDownLatch(1);
    CountDownLatch fired = new CountDownLatch(1);
    long[] latenessUs = new long[3];
    CompletableFuture<Long> dueAt = new CompletableFuture<>();
    loop.execute(
        () -> {
          latenessUs[0] = timers.latenessUs();
          // Computed on the loop, as its thread may start late and a due time in the past would be
          // replaced by the current time.
          long due = clock.now() + 20 * MS;
          timers.schedule(TimerQueue.timer(() -> latenessUs[2] = timers.latenessUs()), due);
          timers.schedule(TimerQueue.timer(fired::countDown), due + 10 * MS);
          dueAt.complete(due);
          try {
            resume.await();
          } catch (InterruptedException fault) {
            Thread.currentThread().interrupt();
          }
          latenessUs[1] = timers.latenessUs();
        });
    long due = dueAt.get();
    while (clock.now() < due + 100 * MS) {
      Thread.onSpinWait();
    }
    resume.countDown();
    fired.await();
    loop.shutdownGracefully();
    assertThat(latenessUs[0]).isZero();
    assertThat(latenessUs[1]).isGreaterThanOrEqualTo(100 * MS);
    // A timer that has just fired late shows the stall as well.
    assertThat(latenessUs[2]).isGreaterThanOrEqualTo(100 * MS);
  }
}
