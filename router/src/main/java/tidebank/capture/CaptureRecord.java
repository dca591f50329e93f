package tidebank.capture;

import java.util.List;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Settings;

/** A record of a capture. Records are stored in the order in which they occurred. */
public sealed interface CaptureRecord {
  /**
   * The routing policy was started, or restarted after a failed round, with no earlier state.
   *
   * @param settings the settings of the policy
   * @param seed the seed of its random number generator
   */
  record PolicyStarted(Settings settings, long seed) implements CaptureRecord {}

  /**
   * A decision round.
   *
   * @param nowUs the time passed to the policy, in microseconds
   * @param events the input of the policy, in order
   * @param digest the {@link ActionDigest} of the actions
   * @param actions the output of the policy, or null if only the digest was stored
   */
  record DecisionRound(long nowUs, List<Event> events, int digest, List<Action> actions)
      implements CaptureRecord {}

  /**
   * A failed decision round: the policy or the execution of its actions threw an exception. If an
   * action failed, some actions may have been executed and a {@link DecisionRound} of the same
   * round precedes.
   *
   * @param nowUs the time passed to the policy, in microseconds
   * @param events the input of the policy, in order
   * @param cause the text of the exception
   */
  record RoundFailed(long nowUs, List<Event> events, String cause) implements CaptureRecord {}

  /**
   * Rounds that were dropped at this point of the capture. Later rounds cannot be replayed until
   * the policy is restarted.
   *
   * @param rounds number of dropped rounds
   */
  record Gap(long rounds) implements CaptureRecord {}
}
