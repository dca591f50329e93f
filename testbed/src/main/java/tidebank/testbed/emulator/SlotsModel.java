package tidebank.testbed.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * A simple server: so many parts at once, a bounded queue behind them, first come first served,
 * slower while cold. What has waited past its gatherer's time is dropped before it runs.
 */
public final class SlotsModel implements ServerModel {
  private record Waiting(String part, long workUs, long untilUs) {}

  private final int slots;
  private final int room;
  private final double coldFrom;
  private final long warmUs;
  private final PriorityQueue<Done> running =
      new PriorityQueue<>(Comparator.comparingLong(Done::atUs).thenComparing(Done::part));
  private final Deque<Waiting> queue = new ArrayDeque<>();
  private final Map<String, Waiting> waiting = new HashMap<>();
  private boolean draining;
  private long startedUs = Long.MIN_VALUE / 2;

  public SlotsModel(int slots, int room, double coldFrom, long warmUs) {
    this.slots = slots;
    this.room = room;
    this.coldFrom = coldFrom;
    this.warmUs = warmUs;
  }

  @Override
  public boolean take(long nowUs, String part, long workUs, long untilUs) {
    if (draining || running.size() >= slots && queue.size() >= room) {
      return false;
    }
    Waiting one = new Waiting(part, workUs, untilUs);
    if (running.size() < slots) {
      run(nowUs, one);
    } else {
      queue.add(one);
      waiting.put(part, one);
    }
    return true;
  }

  private void run(long nowUs, Waiting one) {
    running.add(new Done(one.part, nowUs + Math.max(1, Math.round(one.workUs / warmth(nowUs)))));
  }

  @Override
  public boolean drop(long nowUs, String part) {
    Waiting one = waiting.remove(part);
    return one != null && queue.remove(one);
  }

  @Override
  public List<Done> done(long nowUs) {
    List<Done> done = new ArrayList<>();
    while (!running.isEmpty() && running.peek().atUs() <= nowUs) {
      Done first = running.poll();
      done.add(first);
      Waiting next;
      while ((next = queue.poll()) != null) {
        waiting.remove(next.part);
        if (next.untilUs > first.atUs()) {
          run(first.atUs(), next);
          break;
        }
      }
    }
    return done;
  }

  @Override
  public long nextUs() {
    return running.isEmpty() ? Long.MAX_VALUE : running.peek().atUs();
  }

  @Override
  public void drain() {
    draining = true;
  }

  @Override
  public void restart(long nowUs) {
    running.clear();
    queue.clear();
    waiting.clear();
    draining = false;
    startedUs = nowUs;
  }

  @Override
  public double warmth(long nowUs) {
    double warm = warmUs == 0 ? 1 : (double) (nowUs - startedUs) / warmUs;
    return Math.min(1, coldFrom + (1 - coldFrom) * Math.max(0, warm));
  }

  @Override
  public double capacityUsPerS() {
    return slots * 1e6;
  }

  @Override
  public int inFlight() {
    return running.size() + queue.size();
  }

  @Override
  public double busy() {
    return Math.min(1, (double) running.size() / slots);
  }
}
