package tidebank.testbed.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** A scale run, which measures all sizes of a profile, smallest first, for each repeat. */
public final class ScaleRun {
  /** A receiver of the points of each measurement, called when the measurement ends. */
  @FunctionalInterface
  public interface PointSink {
    /** Adds the points of one measurement. */
    void add(List<Point> points) throws IOException;
  }

  private ScaleRun() {}

  /** Returns the facts of a run of this profile on this machine. */
  public static RunFacts facts(String profileName, Profile profile) {
    return new RunFacts(
        profileName,
        profile.seed(),
        profile.repeats(),
        profile.listChanges(),
        profile.fixedSize(),
        Machine.current());
  }

  /**
   * Measures each size once without recording, so that the code is compiled, and then all repeats.
   * Checks the memory need of all sizes before the first measurement.
   *
   * @param sink receives the points of each measurement
   * @param progress receives a line of text before each measurement
   * @throws IOException if a size needs more memory than allowed or a measurement fails; the sink
   *     has received the points of all earlier measurements
   */
  public static void run(Profile profile, PointSink sink, Consumer<String> progress)
      throws IOException {
    List<Size> sizes = profile.sizes();
    int total = sizes.size() * profile.repeats();
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
        progress.accept(++done + "/" + total + ": " + size + " shard servers, repeat " + repeat);
        sink.add(measure(size, profile, repeat));
      }
    }
  }

  private static void checkMemory(Size size) throws IOException {
    Machine machine = Machine.current();
    Optional<String> reason =
        MemoryEstimate.rejectionReason(size, machine.memoryBytes(), machine.heapBytes());
    if (reason.isPresent()) {
      throw new IOException(reason.get());
    }
  }

  private static List<Point> measure(Size size, Profile profile, int repeat) throws IOException {
    long seed = profile.seed() + repeat;
    RawMeasurement result = Measurement.of(size, profile.listChanges(), seed);
    List<Point> points = new ArrayList<>();
    Quantities.of(result)
        .forEach((quantity, value) -> points.add(new Point(size, quantity, value, repeat, seed)));
    return points;
  }
}
