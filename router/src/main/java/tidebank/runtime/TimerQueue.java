package tidebank.runtime;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Comparator;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.metrics.Counters;

/**
 * All timers of an event loop, behind one scheduled wake-up of the loop for the earliest. Confined
 * to the event loop.
 */
public final class TimerQueue {
  private static final Logger LOG = LoggerFactory.getLogger(TimerQueue.class);

  /**
   * How far the earliest timer may move away from the wake-up before that is moved, too. Until then
   * the wake-up finds nothing due: under load the earliest timer moves with every query.
   */
  private static final long MAX_EARLY_WAKE_UP_US = 1_000_000;

  /** Something that is due at a time. It can be scheduled once at a time. */
  public abstract static class Timer {
    private long dueAt;
    private long order;
    private boolean scheduled;

    /** Called on the event loop when the timer is due. */
    protected abstract void fire();
  }

  /** Returns a timer that runs this when it is due. */
  public static Timer timer(Runnable then) {
    return new Timer() {
      @Override
      protected void fire() {
        then.run();
      }
    };
  }

  private static final Comparator<Timer> EARLIEST_FIRST =
      Comparator.comparingLong((Timer timer) -> timer.dueAt)
          .thenComparingLong(timer -> timer.order);

  private final TreeSet<Timer> scheduled = new TreeSet<>(EARLIEST_FIRST);
  private final EventLoop loop;
  private final Clock clock;
  private final Counters counters;
  private final EventLoopStallLogger stalls;
  private final Runnable wakeUpTask = this::wakeUp;
  private ScheduledFuture<?> wakeUp;
  private long wakeUpAt = Long.MAX_VALUE;
  private long lastOrder;
  private long firedAt;
  private long firedLateUs;

  /** Creates an empty queue on this event loop. */
  public TimerQueue(EventLoop loop, Clock clock, Counters counters) {
    this.loop = loop;
    this.clock = clock;
    this.counters = counters;
    this.stalls = new EventLoopStallLogger(counters);
  }

  /** Schedules a timer, or moves it. One for a past time is due now. */
  public void schedule(Timer timer, long dueAt) {
    cancel(timer);
    // It cannot have been due before it was scheduled: only what was is a sign that the process
    // stood still.
    timer.dueAt = Math.max(dueAt, clock.now());
    timer.order = ++lastOrder;
    timer.scheduled = true;
    scheduled.add(timer);
    scheduleWakeUp();
  }

  /** Cancels a timer; does nothing if it is not scheduled. */
  public void cancel(Timer timer) {
    if (timer.scheduled) {
      scheduled.remove(timer);
      timer.scheduled = false;
    }
  }

  /**
   * Returns how long something that is due has waited, or something that was due just now had to,
   * in microseconds: for so long the process stood still, or was too busy to read what came.
   */
  public long latenessUs() {
    long now = clock.now();
    long overdueUs = scheduled.isEmpty() ? 0 : now - scheduled.first().dueAt;
    return Math.max(overdueUs, now - firedAt <= firedLateUs ? firedLateUs : 0);
  }

  /**
   * Returns how long the earliest timer is overdue, in microseconds. The event loop reads its
   * sockets before it fires timers.
   */
  public long overdueUs() {
    return scheduled.isEmpty() ? 0 : Math.max(0, clock.now() - scheduled.first().dueAt);
  }

  /**
   * Moves the wake-up if it is too late, or so early that it would only interrupt an idle process.
   * One that comes a little early finds nothing due and schedules the next.
   */
  private void scheduleWakeUp() {
    long first = scheduled.isEmpty() ? Long.MAX_VALUE : scheduled.first().dueAt;
    boolean isEarly = first != Long.MAX_VALUE && first - MAX_EARLY_WAKE_UP_US > wakeUpAt;
    if (first < wakeUpAt || isEarly) {
      if (wakeUp != null) {
        wakeUp.cancel(false);
      }
      wakeUpAt = first;
      wakeUp = loop.schedule(wakeUpTask, Math.max(0, first - clock.now()), TimeUnit.MICROSECONDS);
    }
  }

  private void wakeUp() {
    wakeUp = null;
    wakeUpAt = Long.MAX_VALUE;
    long now = clock.now();
    if (!scheduled.isEmpty() && scheduled.first().dueAt <= now) {
      firedAt = now;
      firedLateUs = now - scheduled.first().dueAt;
      stalls.wakeUp(firedLateUs);
    }
    while (!scheduled.isEmpty() && scheduled.first().dueAt <= now) {
      Timer due = scheduled.pollFirst();
      due.scheduled = false;
      fire(due);
    }
    scheduleWakeUp();
  }

  private void fire(Timer due) {
    try {
      due.fire();
    } catch (RuntimeException | VirtualMachineError fault) {
      counters.add("timers.failed");
      LOG.error("timer failed", fault);
    }
  }
}
