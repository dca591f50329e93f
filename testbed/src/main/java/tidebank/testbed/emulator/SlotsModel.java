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
 * A queueing model with a fixed number of slots and a bounded first-in, first-out queue. Execution
 * is slower during warm-up. A request that is past its deadline when it leaves the queue is dropped
 * without being executed.
 */
public final class SlotsModel implements ServerModel {
  private record Request(String id, long workUs, long deadlineUs) {}

  private final int slots;
  private final int queueCapacity;
  private final double coldShare;
  private final long warmupUs;
  private final PriorityQueue<Completion> running =
      new PriorityQueue<>(
          Comparator.comparingLong(Completion::atUs).thenComparing(Completion::requestId));
  private final Deque<Request> queue = new ArrayDeque<>();
  private final Map<String, Request> queuedById = new HashMap<>();
  private boolean draining;
  private long startedUs = Long.MIN_VALUE / 2;

  /**
   * Creates a warm, idle server.
   *
   * @param slots number of requests executed at once
   * @param queueCapacity number of requests that may be queued
   * @param coldShare share of its capacity that the server has right after a restart
   * @param warmupUs time after a restart at which it has its full capacity
   */
  public SlotsModel(int slots, int queueCapacity, double coldShare, long warmupUs) {
    this.slots = slots;
    this.queueCapacity = queueCapacity;
    this.coldShare = coldShare;
    this.warmupUs = warmupUs;
  }

  @Override
  public boolean submit(long nowUs, String requestId, long workUs, long deadlineUs) {
    if (draining || running.size() >= slots && queue.size() >= queueCapacity) {
      return false;
    }
    Request request = new Request(requestId, workUs, deadlineUs);
    if (running.size() < slots) {
      execute(nowUs, request);
    } else {
      queue.add(request);
      queuedById.put(requestId, request);
    }
    return true;
  }

  private void execute(long nowUs, Request request) {
    running.add(
        new Completion(
            request.id, nowUs + Math.max(1, Math.round(request.workUs / capacityShare(nowUs)))));
  }

  @Override
  public boolean cancel(long nowUs, String requestId) {
    Request request = queuedById.remove(requestId);
    return request != null && queue.remove(request);
  }

  @Override
  public List<Completion> pollCompletions(long nowUs) {
    List<Completion> completions = new ArrayList<>();
    while (!running.isEmpty() && running.peek().atUs() <= nowUs) {
      Completion first = running.poll();
      completions.add(first);
      Request next;
      while ((next = queue.poll()) != null) {
        queuedById.remove(next.id);
        if (next.deadlineUs > first.atUs()) {
          execute(first.atUs(), next);
          break;
        }
      }
    }
    return completions;
  }

  @Override
  public long nextCompletionUs() {
    return running.isEmpty() ? Long.MAX_VALUE : running.peek().atUs();
  }

  @Override
  public void startDraining() {
    draining = true;
  }

  @Override
  public void restart(long nowUs) {
    running.clear();
    queue.clear();
    queuedById.clear();
    draining = false;
    startedUs = nowUs;
  }

  @Override
  public double capacityShare(long nowUs) {
    double warmupProgress = warmupUs == 0 ? 1 : (double) (nowUs - startedUs) / warmupUs;
    return Math.min(1, coldShare + (1 - coldShare) * Math.max(0, warmupProgress));
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
  public double utilization() {
    return Math.min(1, (double) running.size() / slots);
  }
}
