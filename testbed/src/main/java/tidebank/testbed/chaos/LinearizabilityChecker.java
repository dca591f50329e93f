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
 * Whether operations that overlapped can have taken effect one after the other, each at some moment
 * between its call and its return. The search of Wing and Gong, which never comes twice to the same
 * operations done with the same state (Lowe).
 */
public final class LinearizabilityChecker {
  /** Operations tried before a history counts as undecided. */
  private static final int MOST = 2_000_000;

  /**
   * One operation.
   *
   * @param what for people
   * @param call when it was asked for
   * @param back when its answer was there; {@link Long#MAX_VALUE} where none came: it may have
   *     taken effect any time, or never
   * @param step the state after it, or null where it can't have had this answer in that state
   */
  public record Operation<S>(String what, long call, long back, UnaryOperator<S> step) {
    private boolean answered() {
      return back != Long.MAX_VALUE;
    }
  }

  /** What came of it: fine where {@code fault} is empty. */
  public record Outcome(String fault, int tried) {
    public boolean holds() {
      return fault.isEmpty();
    }
  }

  private record Choice<S>(int operation, S before) {}

  private record Seen<S>(BitSet done, S state) {}

  private LinearizabilityChecker() {}

  public static <S> Outcome check(List<Operation<S>> history, S first) {
    List<Operation<S>> all = new ArrayList<>(history);
    all.sort(Comparator.comparingLong(Operation::call));
    int left = (int) all.stream().filter(Operation::answered).count();
    BitSet done = new BitSet(all.size());
    Deque<Choice<S>> path = new ArrayDeque<>();
    Set<Seen<S>> seen = new HashSet<>();
    S state = first;
    int from = 0;
    int tried = 0;
    int deepest = -1;
    String stuck = "";
    while (left > 0) {
      if (++tried > MOST) {
        return new Outcome("undecided after " + MOST + " steps", tried);
      }
      int next = -1;
      S after = null;
      long soonest = Long.MAX_VALUE;
      for (int i = done.nextClearBit(0);
          i < all.size() && all.get(i).call() <= soonest;
          i = done.nextClearBit(i + 1)) {
        Operation<S> one = all.get(i);
        soonest = Math.min(soonest, one.back());
        if (i >= from && next < 0) {
          after = one.step().apply(state);
          if (after != null) {
            done.set(i);
            next = seen.add(new Seen<>((BitSet) done.clone(), after)) ? i : -1;
            done.clear(i);
          }
        }
      }
      if (next >= 0) {
        path.push(new Choice<>(next, state));
        done.set(next);
        left -= all.get(next).answered() ? 1 : 0;
        state = after;
        from = 0;
        continue;
      }
      if (done.cardinality() > deepest) {
        deepest = done.cardinality();
        stuck = stuck(all, done, soonest, state);
      }
      if (path.isEmpty()) {
        return new Outcome(stuck, tried);
      }
      Choice<S> back = path.pop();
      done.clear(back.operation());
      left += all.get(back.operation()).answered() ? 1 : 0;
      state = back.before();
      from = back.operation() + 1;
    }
    return new Outcome("", tried);
  }

  /** What none of the operations that were due could follow. */
  private static <S> String stuck(List<Operation<S>> all, BitSet done, long soonest, S state) {
    List<String> due = new ArrayList<>();
    for (int i = done.nextClearBit(0);
        i < all.size() && all.get(i).call() <= soonest;
        i = done.nextClearBit(i + 1)) {
      due.add(all.get(i).what());
    }
    return "after "
        + done.cardinality()
        + " of "
        + all.size()
        + " operations, with "
        + state
        + ", none of these fits: "
        + String.join("; ", due);
  }
}
