package tidebank.capture;

import java.util.List;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Settings;

/**
 * Receives every decision round, on the event loop. Implementations must neither block nor throw,
 * and must not change the lists they are given.
 */
public interface DecisionLog {
  /** A log that discards everything. */
  DecisionLog NONE =
      new DecisionLog() {
        @Override
        public void policyStarted(Settings settings, long seed) {}

        @Override
        public void roundDecided(long nowUs, List<Event> events, List<Action> actions) {}

        @Override
        public void roundFailed(long nowUs, List<Event> events, Throwable cause) {}
      };

  /** Called when the routing policy was started, for the first time or again. */
  void policyStarted(Settings settings, long seed);

  /**
   * Called after a decision round.
   *
   * @param nowUs the time that the policy was given, in microseconds
   * @param events input of the policy
   * @param actions output of the policy
   */
  void roundDecided(long nowUs, List<Event> events, List<Action> actions);

  /**
   * Called when the policy, or carrying out its actions, failed. The policy is started again after
   * this.
   *
   * @param nowUs the time that the policy was given, in microseconds
   * @param events input of the policy
   * @param cause the failure
   */
  void roundFailed(long nowUs, List<Event> events, Throwable cause);
}
