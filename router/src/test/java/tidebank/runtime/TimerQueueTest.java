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

/** Which wake-ups the timers ask of an event loop that only notes them down. */
class TimerQueueTest {
  private static final long SECOND = 1_000_000;

  /** Between reading the clock here and there; far below what the tests tell apart. */
  private static final long SLACK = SECOND / 2;

  /** A wake-up that was asked for, and whether it still stands. */
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
              (called, with) -> {
                assertThat(called).isEqualTo("cancel");
                wakeUp.cancelled = true;
                return true;
              });
        });
  }

  /** What is done with a call, by the name of its method. */
  private interface Calls {
    Object called(String method, Object[] arguments);
  }

  private static <T> T proxy(Class<T> type, Calls calls) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (self, method, arguments) -> calls.called(method.getName(), arguments)));
  }

  private List<Long> standing() {
    return wakeUps.stream().filter(one -> !one.cancelled).map(one -> one.delayUs).toList();
  }

  @Test
  void anIdleLoopIsNotWokenForTheTimeThatItsOnlyTimerHasLeft() {
    timers.schedule(timer, clock.now() + 5 * SECOND);
    timers.schedule(timer, clock.now() + 10 * SECOND);
    assertThat(standing()).hasSize(1).allMatch(delay -> delay > 10 * SECOND - SLACK);
  }

  @Test
  void anEarlierTimerMovesTheWakeUpForwardAndALaterOneDoesNot() {
    timers.schedule(timer, clock.now() + 5 * SECOND);
    timers.schedule(TimerQueue.timer(() -> {}), clock.now() + 10 * SECOND);
    timers.schedule(TimerQueue.timer(() -> {}), clock.now() + 2 * SECOND);
    assertThat(standing()).hasSize(1).allMatch(delay -> delay <= 2 * SECOND);
    assertThat(wakeUps).hasSize(2);
  }

  @Test
  void aTimerThatMovesByLittleLeavesTheWakeUpWhereItIs() {
    timers.schedule(timer, clock.now() + 5 * SECOND);
    timers.schedule(timer, clock.now() + 5 * SECOND + SECOND / 10);
    assertThat(wakeUps).hasSize(1);
    assertThat(standing()).hasSize(1);
  }

  @Test
  void aTimerThatIsSetForAPastTimeTellsOfNoStandstill() {
    timers.schedule(timer, clock.now() - 5 * SECOND);
    assertThat(standing()).containsExactly(0L);
    assertThat(timers.overdueUs()).isLessThan(SLACK);
    assertThat(timers.latenessUs()).isLessThan(SLACK);
  }
}
