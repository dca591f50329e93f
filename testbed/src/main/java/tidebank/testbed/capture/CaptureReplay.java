package tidebank.testbed.capture;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import tidebank.capture.ActionDigest;
import tidebank.capture.CaptureRecord;
import tidebank.capture.CaptureSegments;
import tidebank.model.Action;
import tidebank.policy.RoutingPolicy;

/**
 * Replays the events of a capture through a new routing policy and compares its actions with the
 * recorded ones, round by round, up to the first divergence. Rounds for which the state of the
 * policy is unknown are counted as skipped: those before the first policy start in the capture, and
 * those between a gap, a failed round or damage and the next policy start.
 */
public final class CaptureReplay {
  /**
   * The first round with different actions in the replay.
   *
   * @param round the index of the round in the capture, from 0
   * @param nowUs the time of the round, in microseconds
   * @param recorded the recorded actions, or null if only their digest was recorded
   * @param replayed the actions of the replay
   */
  public record Divergence(long round, long nowUs, List<Action> recorded, List<Action> replayed) {}

  /**
   * The outcome of a replay.
   *
   * @param rounds number of rounds in the capture
   * @param matching number of rounds with the same actions in the replay
   * @param skipped number of rounds that were not replayed
   * @param policyStarts number of recorded policy starts
   * @param failures number of rounds recorded as failed
   * @param missingRounds number of rounds that gaps in the capture report as dropped
   * @param damage descriptions of unreadable parts, each with the name of its segment file
   * @param firstUs time of the first round, in microseconds
   * @param lastUs time of the last round, in microseconds
   * @param digest digest over all replayed actions, in hexadecimal, to compare two replays
   * @param divergence the first divergence, or null
   */
  public record Result(
      long rounds,
      long matching,
      long skipped,
      long policyStarts,
      long failures,
      long missingRounds,
      List<String> damage,
      long firstUs,
      long lastUs,
      String digest,
      Divergence divergence) {
    /** Returns whether all replayed rounds had the recorded actions. */
    public boolean matches() {
      return divergence == null;
    }
  }

  /** A listener for replayed rounds. */
  public interface Listener {
    /**
     * Called after a round was replayed.
     *
     * @param number the index of the round in the capture, from 0
     * @param round the recorded round
     * @param actions the actions of the replay
     */
    void roundReplayed(long number, CaptureRecord.DecisionRound round, List<Action> actions);
  }

  private final Listener listener;
  private final CRC32C digest = new CRC32C();
  private final List<String> damage = new ArrayList<>();
  private long rounds;
  private long matching;
  private long skipped;
  private long policyStarts;
  private long failures;
  private long missingRounds;
  private long firstUs;
  private long lastUs;
  private Divergence divergence;

  /** The replayed policy, or null while its state is unknown. */
  private RoutingPolicy policy;

  private CaptureReplay(Listener listener) {
    this.listener = listener;
  }

  /**
   * Returns the segment files of a capture, oldest first.
   *
   * @param capture a directory of segments, or a single segment
   * @throws IOException if the path does not exist or the directory contains no segment
   */
  public static List<Path> listSegments(Path capture) throws IOException {
    if (!Files.exists(capture)) {
      throw new IOException(capture + ": there is no such capture");
    }
    List<Path> files =
        Files.isDirectory(capture) ? CaptureSegments.list(capture) : List.of(capture);
    if (files.isEmpty()) {
      throw new IOException(capture + ": directory contains no capture segments");
    }
    return files;
  }

  /**
   * Replays a capture.
   *
   * @param capture a directory of segments, or a single segment
   * @param listener called for each replayed round, up to the first divergence
   * @throws IOException if there is no capture or it cannot be read
   */
  public static Result replay(Path capture, Listener listener) throws IOException {
    CaptureReplay replay = new CaptureReplay(listener);
    long lastNumber = -1;
    for (Path file : listSegments(capture)) {
      CaptureSegments.SegmentContent content = CaptureSegments.read(file);
      if (lastNumber >= 0 && content.number() != lastNumber + 1) {
        replay.reportDamage(file, "segments before it are missing");
      }
      lastNumber = content.number();
      for (CaptureRecord record : content.records()) {
        replay.apply(record);
      }
      if (!content.damage().isEmpty()) {
        replay.reportDamage(file, content.damage());
      }
    }
    return replay.toResult();
  }

  private void reportDamage(Path file, String description) {
    damage.add(file.getFileName() + ": " + description);
    policy = null;
  }

  private void apply(CaptureRecord record) {
    if (record instanceof CaptureRecord.PolicyStarted started) {
      policyStarts++;
      policy = new RoutingPolicy(started.settings(), started.seed());
    } else if (record instanceof CaptureRecord.Gap gap) {
      missingRounds += gap.rounds();
      policy = null;
    } else if (record instanceof CaptureRecord.RoundFailed) {
      // A failed round leaves the policy in an unknown state; replay resumes at its next start.
      failures++;
      policy = null;
    } else if (record instanceof CaptureRecord.DecisionRound round) {
      replay(round);
    }
  }

  private void replay(CaptureRecord.DecisionRound round) {
    long number = rounds++;
    firstUs = number == 0 ? round.nowUs() : firstUs;
    lastUs = round.nowUs();
    if (policy == null || divergence != null) {
      skipped++;
      return;
    }
    List<Action> actions = policy.runRound(round.nowUs(), round.events());
    int roundDigest = ActionDigest.of(actions);
    updateDigest(roundDigest);
    listener.roundReplayed(number, round, actions);
    if (roundDigest == round.digest()) {
      matching++;
    } else {
      divergence = new Divergence(number, round.nowUs(), round.actions(), actions);
    }
  }

  private void updateDigest(int roundDigest) {
    for (int i = 0; i < Integer.BYTES; i++) {
      digest.update(roundDigest >>> (Byte.SIZE * i));
    }
  }

  private Result toResult() {
    return new Result(
        rounds,
        matching,
        skipped,
        policyStarts,
        failures,
        missingRounds,
        damage,
        firstUs,
        lastUs,
        Long.toHexString(digest.getValue()),
        divergence);
  }
}
