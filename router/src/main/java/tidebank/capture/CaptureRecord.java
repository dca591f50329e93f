package tidebank.capture;

import java.util.List;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Settings;

/** One thing that a capture tells, in the order in which it happened. */
public sealed interface CaptureRecord {
  /**
   * A module was started: the first one, or one anew after a failed turn. All that it knew before
   * is forgotten.
   */
  record Started(Settings settings, long seed) implements CaptureRecord {}

  /**
   * A turn.
   *
   * @param nowUs the clock that the module was given
   * @param events what it was told, in order
   * @param digest over what it wanted done
   * @param actions what it wanted done, or null where only the digest was kept
   */
  record Iteration(long nowUs, List<Event> events, int digest, List<Action> actions)
      implements CaptureRecord {}

  /**
   * A turn failed: what the module had been told in it, and nothing of what it wanted was done in
   * full.
   */
  record Failed(long nowUs, List<Event> events, String cause) implements CaptureRecord {}

  /**
   * So many turns are missing here: there was no room for them. What follows can't be replayed from
   * before.
   */
  record Gap(long turns) implements CaptureRecord {}
}
