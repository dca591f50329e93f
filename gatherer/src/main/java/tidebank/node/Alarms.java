package tidebank.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Comparator;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.base.Counters;

/** All that waits for a time, behind one wake-up of the event loop for the earliest. */
public final class Alarms {
  private static final Logger LOG = LoggerFactory.getLogger(Alarms.class);
  /** Something that is due at a time. It is set at most once at a time. */
  public abstract static class Alarm {
    private long at;
    private long order;
    private boolean set;

    /** Its time has come. */
    protected abstract void ring();
  }

  /** An alarm that runs this when its time has come. */
  public static Alarm alarm(Runnable then) {
    return new Alarm() {
      @Override
      protected void ring() {
        then.run();
      }
    };
  }

  private static final Comparator<Alarm> EARLIEST =
      Comparator.comparingLong((Alarm alarm) -> alarm.at).thenComparingLong(alarm -> alarm.order);

  private final TreeSet<Alarm> waiting = new TreeSet<>(EARLIEST);
  private final EventLoop loop;
  private final Clock clock;
  private final Counters counters;
  private final Runnable wake = this::wake;
  private ScheduledFuture<?> wakeUp;
  private long wakeAt = Long.MAX_VALUE;
  private long orders;
  private long rungAt;
  private long rungLateUs;

  public Alarms(EventLoop loop, Clock clock, Counters counters) {
    this.loop = loop;
    this.clock = clock;
    this.counters = counters;
  }

  /** Sets an alarm, or moves it. */
  public void set(Alarm alarm, long at) {
    clear(alarm);
    alarm.at = at;
    alarm.order = ++orders;
    alarm.set = true;
    waiting.add(alarm);
    arm();
  }

  /**
   * For how long something that was due has waited, or has just had to: so long this process stood still, or was too
   * busy to notice what came.
   */
  public long latenessUs() {
    long now = clock.now();
    long due = waiting.isEmpty() ? 0 : now - waiting.first().at;
    return Math.max(due, now - rungAt <= rungLateUs ? rungLateUs : 0);
  }

  public void clear(Alarm alarm) {
    if (alarm.set) {
      waiting.remove(alarm);
      alarm.set = false;
    }
  }

  /** Moves the wake-up only forward: one that comes too early finds nothing and sets the next. */
  private void arm() {
    long first = waiting.isEmpty() ? Long.MAX_VALUE : waiting.first().at;
    if (first < wakeAt) {
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
      rungAt = now;
      rungLateUs = now - waiting.first().at;
    }
    while (!waiting.isEmpty() && waiting.first().at <= now) {
      Alarm due = waiting.pollFirst();
      due.set = false;
      try {
        due.ring();
      } catch (RuntimeException | VirtualMachineError fault) {
        counters.add("alarms.failed");
        LOG.error("an alarm failed", fault);
      }
    }
    arm();
  }
}
