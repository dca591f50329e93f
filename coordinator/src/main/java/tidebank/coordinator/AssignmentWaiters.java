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
 * The pending long polls of members that wait for a task to claim. Bounded by the number of
 * connections, since a connection has at most one request pending. Thread-safe.
 */
final class AssignmentWaiters {
  private static final byte[] NO_TASKS = "[]".getBytes(StandardCharsets.US_ASCII);

  private record Waiter(String member, CompletableFuture<byte[]> tasks) {}

  private final Set<Waiter> waiters = ConcurrentHashMap.newKeySet();
  private final Supplier<LeaseTableState> state;

  /**
   * Creates an empty set of waiters.
   *
   * @param state supplies the last applied state
   */
  AssignmentWaiters(Supplier<LeaseTableState> state) {
    this.state = state;
  }

  /**
   * Waits for unclaimed tasks of a member. Completes with their names as a JSON list as soon as
   * there is one, or with an empty list after {@code waitMs}.
   */
  CompletableFuture<byte[]> await(String member, long waitMs) {
    Waiter waiter =
        new Waiter(
            member,
            new CompletableFuture<byte[]>()
                .completeOnTimeout(NO_TASKS, waitMs, TimeUnit.MILLISECONDS));
    waiters.add(waiter);
    waiter.tasks().whenComplete((tasks, failure) -> waiters.remove(waiter));
    // Check after registering: a change applied before that has not notified this waiter.
    notifyWaiters();
    return waiter.tasks();
  }

  /** Completes the waiters that have a task to claim now; called after each applied command. */
  void notifyWaiters() {
    if (waiters.isEmpty()) {
      return;
    }
    Map<String, List<String>> unclaimed = state.get().unclaimedTasks();
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
