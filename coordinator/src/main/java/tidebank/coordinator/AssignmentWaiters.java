package tidebank.coordinator;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.LeaseTableState;

/**
 * Members that wait for a task to claim. There are as many as there are connections at most, as one
 * that waits sends no other request. Methods may be called by any thread.
 */
final class AssignmentWaiters {
  private static final byte[] NO_TASKS = "[]".getBytes(StandardCharsets.US_ASCII);

  private record Waiter(String member, CompletableFuture<byte[]> tasks) {}

  private final Set<Waiter> waiters = ConcurrentHashMap.newKeySet();
  private final Supplier<LeaseTableState> state;

  /**
   * Creates it without waiters.
   *
   * @param state returns the state as last applied
   */
  AssignmentWaiters(Supplier<LeaseTableState> state) {
    this.state = state;
  }

  /**
   * Completes with a member's unclaimed tasks as a JSON list: as soon as there is one, or with an
   * empty list when the wait is over.
   */
  CompletableFuture<byte[]> await(String member, long waitMs) {
    Waiter waiter =
        new Waiter(
            member,
            new CompletableFuture<byte[]>()
                .completeOnTimeout(NO_TASKS, waitMs, TimeUnit.MILLISECONDS));
    waiters.add(waiter);
    waiter.tasks().whenComplete((tasks, failed) -> waiters.remove(waiter));
    // After the next change knows of the waiter, so that none falls in between.
    notifyWaiters();
    return waiter.tasks();
  }

  /** Completes those who have a task to claim now; called after each command applied. */
  void notifyWaiters() {
    if (waiters.isEmpty()) {
      return;
    }
    Map<String, List<String>> unclaimed = state.get().unclaimed();
    if (unclaimed.isEmpty()) {
      return;
    }
    for (Waiter waiter : List.copyOf(waiters)) {
      List<String> tasks = unclaimed.get(waiter.member());
      if (tasks != null) {
        waiter.tasks().complete(LeaseCodec.write(tasks));
      }
    }
  }
}
