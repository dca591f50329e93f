package tidebank.testbed.chaos;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Checks whether overlapping operations can have taken effect one after the other, each at some
 * moment between its call and its return. Uses the search of Wing and Gong with the memoization of
 * Lowe: a set of operations done is never tried twice with the same state. Pure.
 */
public final class LinearizabilityChecker {
  /** Steps after which a history counts as undecided. */
  private static final int MAX_STEPS = 2_000_000;

  /**
   * One operation.
   *
   * @param description for people
   * @param calledAt when it was called
   * @param returnedAt when its result was there; {@link Long#MAX_VALUE} if there was none: it may
   *     have taken effect at any time, or never
   * @param transition returns the state after it, or null if it can't have had its result in the
   *     state before
   */
  public record Operation<S>(
      String description, long calledAt, long returnedAt, UnaryOperator<S> transition) {
    private boolean hasReturned() {
      return returnedAt != Long.MAX_VALUE;
    }
  }

  /**
   * The outcome of a check.
   *
   * @param violation describes where the search got stuck; "" if the history is linearizable
   * @param steps of the search
   */
  public record Outcome(String violation, int steps) {
    /** Returns whether the history is linearizable. */
    public boolean holds() {
      return violation.isEmpty();
    }
  }

  /** Checks a history that starts in an initial state. */
  public static <S> Outcome check(List<Operation<S>> history, S initial) {
    return new Search<>(history, initial).run();
  }

  private LinearizabilityChecker() {}

  /** A depth-first search over the orders in which the operations may have taken effect. */
  private static final class Search<S> {
    private record Choice<S>(int operation, S before) {}

    private record Configuration<S>(BitSet done, S state) {}

    private final List<Operation<S>> operations;
    private final BitSet applied;
    private final Deque<Choice<S>> path = new ArrayDeque<>();
    private final Set<Configuration<S>> visited = new HashSet<>();
    private S state;
    private int unappliedReturned;
    private int maxApplied = -1;
    private String furthestDeadEnd = "";

    Search(List<Operation<S>> history, S initial) {
      operations = new ArrayList<>(history);
      operations.sort(Comparator.comparingLong(Operation::calledAt));
      applied = new BitSet(operations.size());
      state = initial;
      unappliedReturned = (int) operations.stream().filter(Operation::hasReturned).count();
    }

    Outcome run() {
      int from = 0;
      int steps = 0;
      while (unappliedReturned > 0) {
        if (++steps > MAX_STEPS) {
          return new Outcome("undecided after " + MAX_STEPS + " steps", steps);
        }
        int next = findNextOperation(from);
        if (next >= 0) {
          apply(next);
          from = 0;
          continue;
        }
        recordFurthestState();
        if (path.isEmpty()) {
          return new Outcome(furthestDeadEnd, steps);
        }
        from = undoLast() + 1;
      }
      return new Outcome("", steps);
    }

    /**
     * Returns the first operation from an index on that may take effect next and leads to a pair of
     * done operations and state that was not visited; -1 if there is none.
     */
    private int findNextOperation(int from) {
      long earliestReturn = Long.MAX_VALUE;
      for (int i = applied.nextClearBit(0);
          i < operations.size() && operations.get(i).calledAt() <= earliestReturn;
          i = applied.nextClearBit(i + 1)) {
        earliestReturn = Math.min(earliestReturn, operations.get(i).returnedAt());
        if (i >= from && leadsToUnvisitedState(i)) {
          return i;
        }
      }
      return -1;
    }

    private boolean leadsToUnvisitedState(int operation) {
      S after = operations.get(operation).transition().apply(state);
      if (after == null) {
        return false;
      }
      applied.set(operation);
      boolean added = visited.add(new Configuration<>((BitSet) applied.clone(), after));
      applied.clear(operation);
      return added;
    }

    private void apply(int operation) {
      path.push(new Choice<>(operation, state));
      applied.set(operation);
      unappliedReturned -= operations.get(operation).hasReturned() ? 1 : 0;
      state = operations.get(operation).transition().apply(state);
    }

    /** Takes the last operation back; returns its index. */
    private int undoLast() {
      Choice<S> last = path.pop();
      applied.clear(last.operation());
      unappliedReturned += operations.get(last.operation()).hasReturned() ? 1 : 0;
      state = last.before();
      return last.operation();
    }

    /** Keeps a description of the state in which most operations were done. */
    private void recordFurthestState() {
      if (applied.cardinality() > maxApplied) {
        maxApplied = applied.cardinality();
        furthestDeadEnd = describeDeadEnd();
      }
    }

    private String describeDeadEnd() {
      long earliestReturn = Long.MAX_VALUE;
      List<String> candidates = new ArrayList<>();
      for (int i = applied.nextClearBit(0);
          i < operations.size() && operations.get(i).calledAt() <= earliestReturn;
          i = applied.nextClearBit(i + 1)) {
        earliestReturn = Math.min(earliestReturn, operations.get(i).returnedAt());
        candidates.add(operations.get(i).description());
      }
      return "after "
          + applied.cardinality()
          + " of "
          + operations.size()
          + " operations, with "
          + state
          + ", none of these fits: "
          + String.join("; ", candidates);
    }
  }
}
