package tidebank.testbed.explore;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedList;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Breadth-first search of the states that a model can reach within a number of transitions. The
 * first violation found has a shortest trace. States are distinguished by a 64-bit hash of their
 * key: with ten million states, the chance of a collision is below 1 in 100,000, and a collision
 * leaves a state unvisited.
 */
public final class StateSpaceExplorer {
  /** Number of states expanded in parallel at a time. */
  private static final int CHUNK_SIZE = 1 << 14;

  /**
   * The model to explore.
   *
   * @param <S> the type of a state; states must not change after they have been returned
   */
  public interface Model<S> {
    /** Returns the initial state. */
    S initialState();

    /** Passes each successor of a state to {@code next}, with the name of the transition. */
    void forEachSuccessor(S state, BiConsumer<String, S> next);

    /** Returns a description of the invariant that a state violates, or null. */
    String findViolation(S state);

    /**
     * Returns a text that two states share only if they have the same successors and violations.
     */
    String stateKey(S state);
  }

  /**
   * The result of an exploration.
   *
   * @param statesVisited number of distinct states visited
   * @param depth number of transitions of the longest trace examined
   * @param violation description of the first violation, or null
   * @param trace names of the transitions that lead to the violation
   */
  public record ExplorationResult(
      long statesVisited, int depth, String violation, List<String> trace) {
    @Override
    public String toString() {
      return statesVisited
          + " states to a depth of "
          + depth
          + (violation == null
              ? ", no violation"
              : "; " + violation + " after:\n  " + String.join("\n  ", trace));
    }
  }

  private record Node<S>(S state, Step step) {}

  /** The last transition of a trace, linked to the one before it; null before the first. */
  private record Step(String transition, Step previous) {
    List<String> trace() {
      LinkedList<String> trace = new LinkedList<>();
      for (Step step = this; step.previous != null; step = step.previous) {
        trace.addFirst(step.transition);
      }
      return trace;
    }
  }

  private StateSpaceExplorer() {}

  /** Explores a model to a depth, in transitions; stops at the first violation. */
  public static <S> ExplorationResult explore(Model<S> model, int maxDepth) {
    Set<Long> seen = new HashSet<>();
    List<Node<S>> frontier = List.of(new Node<>(model.initialState(), new Step("start", null)));
    seen.add(hash(model.stateKey(frontier.get(0).state)));
    for (int depth = 1; depth <= maxDepth; depth++) {
      List<Node<S>> next = new ArrayList<>();
      for (int from = 0; from < frontier.size(); from += CHUNK_SIZE) {
        List<Node<S>> chunk = frontier.subList(from, Math.min(frontier.size(), from + CHUNK_SIZE));
        // Expanded in parallel but merged in order, so that the result and the trace are
        // deterministic.
        for (List<Successor<S>> successors :
            chunk.parallelStream().map(node -> successors(model, node)).toList()) {
          for (Successor<S> successor : successors) {
            if (seen.add(successor.hash)) {
              if (successor.violation != null) {
                return new ExplorationResult(
                    seen.size(), depth, successor.violation, successor.node.step.trace());
              }
              next.add(successor.node);
            }
          }
        }
      }
      frontier = next;
    }
    return new ExplorationResult(seen.size(), maxDepth, null, List.of());
  }

  /** A successor of an expanded state, with the hash of its key and its violation, or null. */
  private record Successor<S>(Node<S> node, long hash, String violation) {}

  private static <S> List<Successor<S>> successors(Model<S> model, Node<S> node) {
    List<Successor<S>> successors = new ArrayList<>();
    model.forEachSuccessor(
        node.state,
        (transition, state) ->
            successors.add(
                new Successor<>(
                    new Node<>(state, new Step(transition, node.step)),
                    hash(model.stateKey(state)),
                    model.findViolation(state))));
    return successors;
  }

  private static long hash(String key) {
    return Hashing.komihash5_0().hashCharsToLong(key);
  }
}
