package tidebank.testbed.scale;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The directory of a run's results: the facts of the run, its points and the fits. */
public final class ScaleResults {
  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  private final Path directory;

  public ScaleResults(Path directory) {
    this.directory = directory;
  }

  /** Starts the results of a run, replaces those of an earlier run, and returns the points file. */
  public PointsFile create(RunFacts run) throws IOException {
    Files.createDirectories(directory);
    Files.deleteIfExists(fitsPath());
    write(directory.resolve("run.json"), run);
    return new PointsFile(pointsPath());
  }

  /** Reads the facts of the run. */
  public RunFacts run() throws IOException {
    return JSON.readValue(directory.resolve("run.json").toFile(), RunFacts.class);
  }

  /** Reads the points of the run. */
  public List<Point> points() throws IOException {
    return PointsFile.read(pointsPath());
  }

  /** Reads the stored fits. */
  public List<Fit> fits() throws IOException {
    return JSON.readValue(fitsPath().toFile(), new TypeReference<List<Fit>>() {});
  }

  /** Computes the fits of the points, stores and returns them. */
  public List<Fit> fit() throws IOException {
    List<Fit> fits = Fits.of(run(), points());
    write(fitsPath(), fits);
    return fits;
  }

  private Path pointsPath() {
    return directory.resolve("points.csv");
  }

  private Path fitsPath() {
    return directory.resolve("fits.json");
  }

  private static void write(Path path, Object value) throws IOException {
    Files.writeString(path, JSON.writeValueAsString(value) + "\n");
  }
}
