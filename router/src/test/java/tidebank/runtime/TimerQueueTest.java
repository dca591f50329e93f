package tidebank.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import tidebank.metrics.Counters;

/** Tests which wake-ups the queue schedules, on a fake event loop that only records them. */
class TimerQueueTest {
  private static final long SECOND_US = 1_000_000;

  /** Allows for time between two clock reads; far below the differences that are tested. */
  private static final long SLACK_US = SECOND_US / 2;

  /** A wake-up that was scheduled, and whether it was cancelled. */
  private static final class WakeUp {
    private final long delayUs;
    private boolean cancelled;

    WakeUp(long delayUs) {
      this.delayUs = delayUs;
    }
  }

  private final List<WakeUp> wakeUps = new ArrayList<>();
  private final Clock clock = new Clock();
  private final TimerQueue timers = new TimerQueue(loop(), clock, new Counters());
  private final TimerQueue.Timer timer = TimerQueue.timer(() -> {});

  private EventLoop loop() {
    return proxy(
        EventLoop.class,
        (method, arguments) -> {
          assertThat(method).isEqualTo("schedule");
          WakeUp wakeUp = new WakeUp(((TimeUnit) arguments[2]).toMicros((long) arguments[1]));
          wakeUps.add(wakeUp);
          return proxy(
              ScheduledFuture.class,
              (called, ignored) -> {
                assertThat(called).isEqualTo("cancel");
                wakeUp.cancelled = true;
                return true;
              });
        });
  }

  /** Handles the calls of a proxy by the name of the method. */
  private interface CallHandler {
    Object handle(String method, Object[] arguments);
  }

  private static <T> T proxy(Class<T> type, CallHandler handler) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (self, method, arguments) -> handler.handle(method.getName(), arguments)));
  }

  private List<Long> scheduledDelays() {
    return wakeUps.stream().filter(w -> !w.cancelled).map(w -> w.delayUs).toList();
  }

  /** An idle process would otherwise wake up for a due time that no longer exists. */
  @Test
  void postponingTheOnlyTimerPostponesTheWakeUp() {
    timers.schedule(timer, clock.now() + 5 * SECOND_US);
    timers.schedule(timer, clock.now() + 10 * SECOND_US);
    assertThat(scheduledDelays()).hasSize(1).allMatch(delay -> delay > 10 * SECOND_US - SLACK_US);
  }

  @Test
  void onlyAnEarlierTimerMovesTheWakeUpForward() {
    timers.schedule(timer, clock.now() + 5 * SECOND_US);
    timers.schedule(TimerQueue.timer(() -> {}), clock.now() + 10 * SECOND_US);
    timers.schedule(TimerQueue.timer(() -> {}), clock.now() + 2 * SECOND_US);
    assertThat(scheduledDelays()).hasSize(1).allMatch(delay -> delay <= 2 * SECOND_US);
    assertThat(wakeUps).hasSize(2);
  }

  /** Under load the earliest timer changes with every query; rescheduling each time is costly. */
  @Test
  void aSlightlyPostponedTimerKeepsItsWakeUp() {
    timers.schedule(timer, clock.now() + 5 * SECOND_US);
    timers.schedule(timer, clock.now() + 5 * SECOND_US + SECOND_US / 10);
    assertThat(wakeUps).hasSize(1);
    assertThat(scheduledDelays()).hasSize(1);
  }

  /** Overdue timers indicate a stall of the process, which a due time in the past does not. */
  @Test
  void aTimerSetForAPastTimeIsNotReportedAsAStall() {
    timers.schedule(timer, clock.now() - 5 * SECOND_US);
    assertThat(scheduledDelays()).containsExactly(0L);
    assertThat(timers.overdueUs()).isLessThan(SLACK_US);
    assertThat(timers.latenessUs()).isLessThan(SLACK_US);
  }
}
