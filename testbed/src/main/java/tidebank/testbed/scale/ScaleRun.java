package tidebank.testbed.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Measures all sizes of a profile, all repeats, smallest first. */
public final class ScaleRun {
  /** Takes the points of each measurement as it ends. */
  @FunctionalInterface
  public interface PointSink {
    void add(List<Point> points) throws IOException;
  }

  private ScaleRun() {}

  /** The facts of a run that is made here and now. */
  public static RunFacts facts(String name, Profile profile) {
    return new RunFacts(
        name,
        profile.seed(),
        profile.repeats(),
        profile.listChanges(),
        profile.fixed(),
        Machine.here());
  }

  /**
   * Runs it: each size once unrecorded, so that code is compiled, then all repeats. A size that
   * needs too much memory is refused before anything is measured.
   *
   * @param progress hears a line before each measurement
   * @throws IOException where a size needs more memory than there is, or a measurement failed; what
   *     was measured before it was handed on
   */
  public static void run(Profile profile, PointSink sink, Consumer<String> progress)
      throws IOException {
    List<Size> sizes = profile.sizes();
    int all = sizes.size() * profile.repeats();
    int done = 0;
    for (Size size : sizes) {
      checkMemory(size);
    }
    for (Size size : sizes) {
      checkMemory(size);
      progress.accept("warming up at " + size + " shard servers");
      Measurement.of(size, profile.listChanges(), profile.seed());
    }
    for (int repeat = 1; repeat <= profile.repeats(); repeat++) {
      for (Size size : sizes) {
        checkMemory(size);
        progress.accept(++done + "/" + all + ": " + size + " shard servers, repeat " + repeat);
        sink.add(measure(size, profile, repeat));
      }
    }
  }

  private static void checkMemory(Size size) throws IOException {
    Machine machine = Machine.here();
    Optional<String> refusal = MemoryNeed.refusal(size, machine.memoryBytes(), machine.heapBytes());
    if (refusal.isPresent()) {
      throw new IOException(refusal.get());
    }
  }

  private static List<Point> measure(Size size, Profile profile, int repeat) throws IOException {
    long seed = profile.seed() + repeat;
    Observed observed = Measurement.of(size, profile.listChanges(), seed);
    List<Point> points = new ArrayList<>();
    Quantities.of(observed)
        .forEach((quantity, value) -> points.add(new Point(size, quantity, value, repeat, seed)));
    return points;
  }
}
