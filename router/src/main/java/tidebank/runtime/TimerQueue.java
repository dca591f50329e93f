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
 * All timers of an event loop, which schedules a single wake-up for the earliest of them. Confined
 * to the event loop.
 */
public final class TimerQueue {
  private static final Logger LOG = LoggerFactory.getLogger(TimerQueue.class);

  /**
   * How much earlier than the earliest timer the wake-up may be without being rescheduled. Under
   * load the earliest timer changes with every query; rather than rescheduling each time, a wake-up
   * may find nothing due.
   */
  private static final long MAX_EARLY_WAKE_UP_US = 1_000_000;

  /** A task with a due time. A timer has at most one due time at once. */
  public abstract static class Timer {
    private long dueAt;
    private long sequence;
    private boolean scheduled;

    /** Called on the event loop when the timer is due. */
    protected abstract void fire();
  }

  /** Returns a timer that runs a task when it is due. */
  public static Timer timer(Runnable task) {
    return new Timer() {
      @Override
      protected void fire() {
        task.run();
      }
    };
  }

  private static final Comparator<Timer> EARLIEST_FIRST =
      Comparator.comparingLong((Timer timer) -> timer.dueAt)
          .thenComparingLong(timer -> timer.sequence);

  private final TreeSet<Timer> scheduled = new TreeSet<>(EARLIEST_FIRST);
  private final EventLoop loop;
  private final Clock clock;
  private final Counters counters;
  private final EventLoopStallLogger stallLogger;
  private final Runnable wakeUpTask = this::wakeUp;
  private ScheduledFuture<?> wakeUp;
  private long wakeUpAt = Long.MAX_VALUE;
  private long lastSequence;
  private long lastFiredAt;
  private long lastLatenessUs;

  /** Creates an empty queue on this event loop. */
  public TimerQueue(EventLoop loop, Clock clock, Counters counters) {
    this.loop = loop;
    this.clock = clock;
    this.counters = counters;
    this.stallLogger = new EventLoopStallLogger(counters);
  }

  /** Schedules or reschedules a timer. A due time in the past is replaced by the current time. */
  public void schedule(Timer timer, long dueAt) {
    cancel(timer);
    // A due time before the call would look like a stall of the process, as overdue timers do.
    timer.dueAt = Math.max(dueAt, clock.now());
    timer.sequence = ++lastSequence;
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
   * Returns how late timers are, in microseconds: how long the earliest one is overdue, or how late
   * the last wake-up was, if it was no longer ago than that. The process was stalled, or too busy
   * to read its sockets, for this time.
   */
  public long latenessUs() {
    long now = clock.now();
    long overdueUs = scheduled.isEmpty() ? 0 : now - scheduled.first().dueAt;
    return Math.max(overdueUs, now - lastFiredAt <= lastLatenessUs ? lastLatenessUs : 0);
  }

  /**
   * Returns how long the earliest timer is overdue, in microseconds, or 0. The event loop reads its
   * sockets before it fires timers, so this shows a stall to the code that handles a read.
   */
  public long overdueUs() {
    return scheduled.isEmpty() ? 0 : Math.max(0, clock.now() - scheduled.first().dueAt);
  }

  /**
   * Reschedules the wake-up if it is too late, or so early that it would only wake an idle process.
   * A wake-up that is a little early finds nothing due and schedules the next one.
   */
  private void scheduleWakeUp() {
    long first = scheduled.isEmpty() ? Long.MAX_VALUE : scheduled.first().dueAt;
    boolean isTooEarly = first != Long.MAX_VALUE && first - MAX_EARLY_WAKE_UP_US > wakeUpAt;
    if (first < wakeUpAt || isTooEarly) {
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
      lastFiredAt = now;
      lastLatenessUs = now - scheduled.first().dueAt;
      stallLogger.recordTimerDelay(lastLatenessUs);
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
      counters.increment("timers.failed");
      LOG.error("timer failed", fault);
    }
  }
}
