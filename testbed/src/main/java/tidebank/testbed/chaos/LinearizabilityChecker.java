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
 * A checker that decides whether a history of concurrent operations is linearizable: whether each
 * operation can have taken effect at one moment between its call and its return. Uses the search of
 * Wing and Gong with the memoization of Lowe: the same set of applied operations with the same
 * state is never explored twice. Stateless.
 */
public final class LinearizabilityChecker {
  /** Search steps after which the check gives up and reports the history as undecided. */
  private static final int MAX_STEPS = 2_000_000;

  /**
   * An operation of a history. Both times are in the same unit.
   *
   * @param description description for violation messages
   * @param calledAt time of the call
   * @param returnedAt time of the result, or {@link Long#MAX_VALUE} without a result: the operation
   *     may have taken effect at any time after the call, or never
   * @param transition maps the state before the operation to the state after it; returns null if
   *     the operation can't have returned its result in that state
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
   * @param violation where the search failed or that it gave up; "" if the history is linearizable
   * @param steps number of search steps
   */
  public record Outcome(String violation, int steps) {
    /** Returns whether the history is linearizable. */
    public boolean holds() {
      return violation.isEmpty();
    }
  }

  /** Checks a history that starts in a given state. */
  public static <S> Outcome check(List<Operation<S>> history, S initial) {
    return new Search<>(history, initial).run();
  }

  private LinearizabilityChecker() {}

  /** A depth-first search over the orders in which the operations may have taken effect. */
  private static final class Search<S> {
    /** An applied operation and the state before it. */
    private record Choice<S>(int operation, S stateBefore) {}

    /** A node of the search: the set of applied operations and the state after them. */
    private record Configuration<S>(BitSet applied, S state) {}

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
      int firstCandidate = 0;
      int steps = 0;
      while (unappliedReturned > 0) {
        if (++steps > MAX_STEPS) {
          return new Outcome("undecided: no linearization found in " + MAX_STEPS + " steps", steps);
        }
        int next = findNextOperation(firstCandidate);
        if (next >= 0) {
          apply(next);
          firstCandidate = 0;
          continue;
        }
        recordDeadEnd();
        if (path.isEmpty()) {
          return new Outcome(furthestDeadEnd, steps);
        }
        firstCandidate = undoLast() + 1;
      }
      return new Outcome("", steps);
    }

    /**
     * Returns the index of the first operation, at or after a given index, that may take effect
     * next and leads to a configuration that was not visited yet; -1 if there is none.
     */
    private int findNextOperation(int firstCandidate) {
      long earliestReturn = Long.MAX_VALUE;
      for (int i = applied.nextClearBit(0);
          i < operations.size() && operations.get(i).calledAt() <= earliestReturn;
          i = applied.nextClearBit(i + 1)) {
        earliestReturn = Math.min(earliestReturn, operations.get(i).returnedAt());
        if (i >= firstCandidate && leadsToUnvisitedState(i)) {
          return i;
        }
      }
      return -1;
    }

    /**
     * Returns whether an operation can be next and leads to a configuration that was not visited
     * yet; marks that configuration as visited.
     */
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

    /** Undoes the last applied operation and returns its index. */
    private int undoLast() {
      Choice<S> last = path.pop();
      applied.clear(last.operation());
      unappliedReturned += operations.get(last.operation()).hasReturned() ? 1 : 0;
      state = last.stateBefore();
      return last.operation();
    }

    /** Keeps the description of the dead end with the most applied operations. */
    private void recordDeadEnd() {
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
      return "after applying "
          + applied.cardinality()
          + " of "
          + operations.size()
          + " operations, in state "
          + state
          + ", none of these operations can be next: "
          + String.join("; ", candidates);
    }
  }
}
