package tidebank.capture;

import java.util.List;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Settings;

/**
 * A listener that the event loop calls with every decision round. Implementations must not block,
 * throw or modify the lists passed to them.
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

  /**
   * Called when the routing policy was started or restarted.
   *
   * @param settings of the policy
   * @param seed of the policy's random number generator
   */
  void policyStarted(Settings settings, long seed);

  /**
   * Called after the policy decided a round and before its actions are executed.
   *
   * @param nowUs the time passed to the policy, in microseconds
   * @param events the input of the policy
   * @param actions the output of the policy
   */
  void roundDecided(long nowUs, List<Event> events, List<Action> actions);

  /**
   * Called when the policy threw an exception or its actions could not be executed. The policy is
   * restarted afterwards.
   *
   * @param nowUs the time passed to the policy, in microseconds
   * @param events the input of the policy
   * @param cause the failure
   */
  void roundFailed(long nowUs, List<Event> events, Throwable cause);
}
