package tidebank.capture;

import java.util.List;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Settings;

/** One record of a capture. Records are stored in the order in which things happened. */
public sealed interface CaptureRecord {
  /**
   * The routing policy was started, for the first time or again after a failed round. All earlier
   * state is gone.
   *
   * @param settings of the policy
   * @param seed of its random numbers
   */
  record PolicyStarted(Settings settings, long seed) implements CaptureRecord {}

  /**
   * One decision round.
   *
   * @param nowUs the time that the policy was given, in microseconds
   * @param events input of the policy, in order
   * @param digest over the actions, as {@link ActionDigest} computes it
   * @param actions output of the policy, or null where only the digest was stored
   */
  record DecisionRound(long nowUs, List<Event> events, int digest, List<Action> actions)
      implements CaptureRecord {}

  /**
   * A decision round that failed: none of its actions was carried out completely.
   *
   * @param nowUs the time that the policy was given, in microseconds
   * @param events input of the policy, in order
   * @param cause the exception as text
   */
  record RoundFailed(long nowUs, List<Event> events, String cause) implements CaptureRecord {}

  /**
   * Rounds that were dropped here. What follows can't be replayed from what precedes.
   *
   * @param rounds how many
   */
  record Gap(long rounds) implements CaptureRecord {}
}
