package tidebank.runtime;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Comparator;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.metrics.Counters;

/** All that waits for a time, behind one wake-up of the event loop for the earliest. */
public final class TimerQueue {
  private static final Logger LOG = LoggerFactory.getLogger(TimerQueue.class);

  /**
   * By how much the earliest timer may move away from the wake-up before that is moved, too. Less
   * is left to a wake-up that finds nothing: under load the earliest moves with every scan.
   */
  private static final long EARLY_MOST_US = 1_000_000;

  /** Something that is due at a time. It is set at most once at a time. */
  public abstract static class Timer {
    private long at;
    private long order;
    private boolean set;

    /** Its time has come. */
    protected abstract void fire();
  }

  /** A timer that runs this when its time has come. */
  public static Timer timer(Runnable then) {
    return new Timer() {
      @Override
      protected void fire() {
        then.run();
      }
    };
  }

  private static final Comparator<Timer> EARLIEST =
      Comparator.comparingLong((Timer timer) -> timer.at).thenComparingLong(timer -> timer.order);

  private final TreeSet<Timer> waiting = new TreeSet<>(EARLIEST);
  private final EventLoop loop;
  private final Clock clock;
  private final Counters counters;
  private final EventLoopStallLogger stalls;
  private final Runnable wake = this::wake;
  private ScheduledFuture<?> wakeUp;
  private long wakeAt = Long.MAX_VALUE;
  private long orders;
  private long firedAt;
  private long firedLateUs;

  public TimerQueue(EventLoop loop, Clock clock, Counters counters) {
    this.loop = loop;
    this.clock = clock;
    this.counters = counters;
    this.stalls = new EventLoopStallLogger(counters);
  }

  /** Sets a timer, or moves it. One for a past time is due now. */
  public void schedule(Timer timer, long at) {
    cancel(timer);
    // It can't have been due before it was set: only what was is a sign that the process stood
    // still.
    timer.at = Math.max(at, clock.now());
    timer.order = ++orders;
    timer.set = true;
    waiting.add(timer);
    arm();
  }

  /**
   * For how long something that was due has waited, or has just had to: so long this process stood
   * still, or was too busy to notice what came.
   */
  public long latenessUs() {
    long now = clock.now();
    long due = waiting.isEmpty() ? 0 : now - waiting.first().at;
    return Math.max(due, now - firedAt <= firedLateUs ? firedLateUs : 0);
  }

  /** By how much the earliest timer is overdue; the loop reads before it has timers fire. */
  public long overdueUs() {
    return waiting.isEmpty() ? 0 : Math.max(0, clock.now() - waiting.first().at);
  }

  public void cancel(Timer timer) {
    if (timer.set) {
      waiting.remove(timer);
      timer.set = false;
    }
  }

  /**
   * Moves the wake-up if it is too late, or so early that it would only interrupt an idle process.
   * One that comes a little early finds nothing and sets the next.
   */
  private void arm() {
    long first = waiting.isEmpty() ? Long.MAX_VALUE : waiting.first().at;
    boolean isEarly = first != Long.MAX_VALUE && first - EARLY_MOST_US > wakeAt;
    if (first < wakeAt || isEarly) {
      if (wakeUp != null) {
        wakeUp.cancel(false);
      }
      wakeAt = first;
      wakeUp = loop.schedule(wake, Math.max(0, first - clock.now()), TimeUnit.MICROSECONDS);
    }
  }

  private void wake() {
    wakeUp = null;
    wakeAt = Long.MAX_VALUE;
    long now = clock.now();
    if (!waiting.isEmpty() && waiting.first().at <= now) {
      firedAt = now;
      firedLateUs = now - waiting.first().at;
      stalls.wakeUp(firedLateUs);
    }
    while (!waiting.isEmpty() && waiting.first().at <= now) {
      Timer due = waiting.pollFirst();
      due.set = false;
      try {
        due.fire();
      } catch (RuntimeException | VirtualMachineError fault) {
        counters.add("timers.failed");
        LOG.error("a timer failed", fault);
      }
    }
    arm();
  }
}
