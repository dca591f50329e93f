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
 * Drives a fresh module with what a capture tells, and compares what it wants with what it wanted
 * then, turn by turn. What can't be replayed (behind a gap, before the first start that is kept) is
 * counted, never guessed.
 */
public final class CaptureReplay {
  /**
   * Where the two parted first.
   *
   * @param turn its number in the capture, from 0
   * @param then what was wanted when it was recorded, or null where only a digest was kept
   * @param now what the module of today wants
   */
  public record Divergence(long turn, long nowUs, List<Action> then, List<Action> now) {}

  /**
   * What came of it.
   *
   * @param turns in the capture
   * @param same replayed to the same actions
   * @param skipped not replayed, as the module's state was not known
   * @param starts of the module
   * @param failures turns that failed when they were recorded
   * @param missing turns that the capture says are missing
   * @param torn what could not be read, by segment
   * @param firstUs clock of the first turn
   * @param lastUs clock of the last
   * @param digest over all actions of today, to compare two replays
   * @param divergence the first, or null
   */
  public record Result(
      long turns,
      long same,
      long skipped,
      long starts,
      long failures,
      long missing,
      List<String> torn,
      long firstUs,
      long lastUs,
      String digest,
      Divergence divergence) {
    public boolean alike() {
      return divergence == null;
    }
  }

  /** Takes each turn as it is replayed. */
  public interface Listener {
    void turn(long number, CaptureRecord.Iteration turn, List<Action> now);
  }

  private CaptureReplay() {}

  /** The segments of a folder, or one file. */
  public static List<Path> segments(Path place) throws IOException {
    if (!Files.exists(place)) {
      throw new IOException(place + ": there is no such capture");
    }
    List<Path> files = Files.isDirectory(place) ? CaptureSegments.in(place) : List.of(place);
    if (files.isEmpty()) {
      throw new IOException(place + ": there is no capture in it");
    }
    return files;
  }

  /**
   * Replays up to the first divergence; the module of today knows nothing but what the capture
   * tells.
   */
  public static Result replay(Path place, Listener listener) throws IOException {
    long turns = 0;
    long same = 0;
    long skipped = 0;
    long starts = 0;
    long failures = 0;
    long missing = 0;
    long first = 0;
    long last = 0;
    List<String> torn = new ArrayList<>();
    CRC32C digest = new CRC32C();
    Divergence divergence = null;
    RoutingPolicy policy = null;
    long number = -1;
    for (Path file : segments(place)) {
      CaptureSegments.Read read = CaptureSegments.read(file);
      if (number >= 0 && read.number() != number + 1) {
        torn.add(file.getFileName() + ": segments before it are missing");
        policy = null;
      }
      number = read.number();
      for (CaptureRecord entry : read.entries()) {
        if (entry instanceof CaptureRecord.Started started) {
          starts++;
          policy = new RoutingPolicy(started.settings(), started.seed());
        } else if (entry instanceof CaptureRecord.Gap gap) {
          missing += gap.turns();
          policy = null;
        } else if (entry instanceof CaptureRecord.Failed) {
          // A module that failed is half changed; the start that follows is where it goes on.
          failures++;
          policy = null;
        } else if (entry instanceof CaptureRecord.Iteration turn) {
          first = turns++ == 0 ? turn.nowUs() : first;
          last = turn.nowUs();
          if (policy == null || divergence != null) {
            skipped++;
            continue;
          }
          List<Action> now = policy.on(turn.nowUs(), turn.events());
          int found = ActionDigest.of(now);
          for (int i = 0; i < 4; i++) {
            digest.update(found >>> 8 * i);
          }
          listener.turn(turns - 1, turn, now);
          if (found == turn.digest()) {
            same++;
          } else {
            divergence = new Divergence(turns - 1, turn.nowUs(), turn.actions(), now);
          }
        }
      }
      if (!read.torn().isEmpty()) {
        torn.add(file.getFileName() + ": " + read.torn());
        policy = null;
      }
    }
    return new Result(
        turns,
        same,
        skipped,
        starts,
        failures,
        missing,
        torn,
        first,
        last,
        Long.toHexString(digest.getValue()),
        divergence);
  }
}
