package tidebank.testbed.explore;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedList;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Visits every state that a model can come to within so many moves, nearest first, so that the
 * first broken one is reached by a shortest trace. States are told apart by 64 bits of their key:
 * of ten million, two are taken for one with a chance of under one in a hundred thousand, and then
 * a state goes unvisited.
 */
public final class Explorer {
  private static final int CHUNK = 1 << 14;

  /**
   * What is explored.
   *
   * @param <S> a state; never changed once handed over
   */
  public interface Model<S> {
    S start();

    /** Hands over each next state with the name of the move that leads there. */
    void moves(S state, BiConsumer<String, S> next);

    /** What is wrong with a state, or null. */
    String broken(S state);

    /** A text that two states share only if they are the same to all that follows. */
    String key(S state);
  }

  /**
   * What was found.
   *
   * @param states states visited
   * @param depth moves of the longest trace looked at
   * @param broken what is wrong, or null
   * @param trace the moves that lead there
   */
  public record Found(long states, int depth, String broken, List<String> trace) {
    @Override
    public String toString() {
      return states
          + " states to a depth of "
          + depth
          + (broken == null
              ? ", none broken"
              : "; " + broken + " after:\n  " + String.join("\n  ", trace));
    }
  }

  private record Node<S>(S state, Step step) {}

  private record Step(String move, Step before) {
    List<String> trace() {
      LinkedList<String> trace = new LinkedList<>();
      for (Step step = this; step.before != null; step = step.before) {
        trace.addFirst(step.move);
      }
      return trace;
    }
  }

  private Explorer() {}

  public static <S> Found explore(Model<S> model, int depth) {
    Set<Long> seen = new HashSet<>();
    List<Node<S>> front = List.of(new Node<>(model.start(), new Step("start", null)));
    seen.add(hash(model.key(front.get(0).state)));
    for (int moves = 1; moves <= depth; moves++) {
      List<Node<S>> next = new ArrayList<>();
      for (int from = 0; from < front.size(); from += CHUNK) {
        List<Node<S>> chunk = front.subList(from, Math.min(front.size(), from + CHUNK));
        // Made side by side, taken one after the other: what is found, and by which trace, is the
        // same each time.
        for (List<Reached<S>> all :
            chunk.parallelStream().map(node -> reached(model, node)).toList()) {
          for (Reached<S> one : all) {
            if (seen.add(one.hash)) {
              if (one.broken != null) {
                return new Found(seen.size(), moves, one.broken, one.node.step.trace());
              }
              next.add(one.node);
            }
          }
        }
      }
      front = next;
    }
    return new Found(seen.size(), depth, null, List.of());
  }

  private record Reached<S>(Node<S> node, long hash, String broken) {}

  private static <S> List<Reached<S>> reached(Model<S> model, Node<S> node) {
    List<Reached<S>> all = new ArrayList<>();
    model.moves(
        node.state,
        (move, state) ->
            all.add(
                new Reached<>(
                    new Node<>(state, new Step(move, node.step)),
                    hash(model.key(state)),
                    model.broken(state))));
    return all;
  }

  private static long hash(String key) {
    return Hashing.komihash5_0().hashCharsToLong(key);
  }
}
