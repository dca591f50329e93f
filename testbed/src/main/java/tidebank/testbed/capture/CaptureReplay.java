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
 * recorded ones, round by round, up to the first divergence. Rounds whose preceding state is not
 * known (behind a gap, before the first start in the capture) are counted and not replayed.
 */
public final class CaptureReplay {
  /**
   * The first round that was decided otherwise.
   *
   * @param round its number in the capture, from 0
   * @param nowUs its time, in microseconds
   * @param recorded the actions of then, or null where only a digest was recorded
   * @param replayed the actions of the replay
   */
  public record Divergence(long round, long nowUs, List<Action> recorded, List<Action> replayed) {}

  /**
   * The outcome of a replay.
   *
   * @param rounds in the capture
   * @param matching rounds that were replayed to the same actions
   * @param skipped rounds that were not replayed
   * @param policyStarts starts of the policy
   * @param failures rounds that had failed when they were recorded
   * @param missingRounds rounds that the capture reports as dropped
   * @param damage what could not be read, by segment
   * @param firstUs time of the first round, in microseconds
   * @param lastUs time of the last round, in microseconds
   * @param digest over all replayed actions, in hexadecimal, to compare two replays
   * @param divergence the first, or null
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
    /** Returns whether no round was decided otherwise. */
    public boolean matches() {
      return divergence == null;
    }
  }

  /** Receives each round as it is replayed. */
  public interface Listener {
    /**
     * Called after a round was replayed.
     *
     * @param number its number in the capture, from 0
     * @param round as it was recorded
     * @param actions of the replay
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

  /** The policy in its replayed state, or null where that is not known. */
  private RoutingPolicy policy;

  private CaptureReplay(Listener listener) {
    this.listener = listener;
  }

  /**
   * Lists the segments of a capture.
   *
   * @param capture a directory of segments, or one segment
   * @throws IOException if there is none
   */
  public static List<Path> listSegments(Path capture) throws IOException {
    if (!Files.exists(capture)) {
      throw new IOException(capture + ": there is no such capture");
    }
    List<Path> files =
        Files.isDirectory(capture) ? CaptureSegments.list(capture) : List.of(capture);
    if (files.isEmpty()) {
      throw new IOException(capture + ": there is no capture in it");
    }
    return files;
  }

  /**
   * Replays a capture.
   *
   * @param capture a directory of segments, or one segment
   * @param listener called for each replayed round, up to the first divergence
   * @throws IOException if there is no capture, or it can't be read
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
      for (CaptureRecord entry : content.records()) {
        replay.apply(entry);
      }
      if (!content.damage().isEmpty()) {
        replay.reportDamage(file, content.damage());
      }
    }
    return replay.toResult();
  }

  private void reportDamage(Path file, String what) {
    damage.add(file.getFileName() + ": " + what);
    policy = null;
  }

  private void apply(CaptureRecord entry) {
    if (entry instanceof CaptureRecord.PolicyStarted started) {
      policyStarts++;
      policy = new RoutingPolicy(started.settings(), started.seed());
    } else if (entry instanceof CaptureRecord.Gap gap) {
      missingRounds += gap.rounds();
      policy = null;
    } else if (entry instanceof CaptureRecord.RoundFailed) {
      // A failed round leaves the policy half changed; the replay goes on with its next start.
      failures++;
      policy = null;
    } else if (entry instanceof CaptureRecord.DecisionRound round) {
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
