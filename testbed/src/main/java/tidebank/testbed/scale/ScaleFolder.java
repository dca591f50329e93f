package tidebank.testbed.scale;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The folder of a run's results: what the run was, its points and the lines through them. */
public final class ScaleFolder {
  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  private final Path folder;

  public ScaleFolder(Path folder) {
    this.folder = folder;
  }

  /** Begins the results of a run, in place of those that are there. */
  public Points begin(RunFacts run) throws IOException {
    Files.createDirectories(folder);
    Files.deleteIfExists(fitsPath());
    write(folder.resolve("run.json"), run);
    return new Points(pointsPath());
  }

  public RunFacts run() throws IOException {
    return JSON.readValue(folder.resolve("run.json").toFile(), RunFacts.class);
  }

  public List<Point> points() throws IOException {
    return Points.read(pointsPath());
  }

  public List<Fit> fits() throws IOException {
    return JSON.readValue(fitsPath().toFile(), new TypeReference<List<Fit>>() {});
  }

  /** Fits lines through the points and keeps them. */
  public List<Fit> fit() throws IOException {
    List<Fit> fits = Fits.of(run(), points());
    write(fitsPath(), fits);
    return fits;
  }

  private Path pointsPath() {
    return folder.resolve("points.csv");
  }

  private Path fitsPath() {
    return folder.resolve("fits.json");
  }

  private static void write(Path path, Object value) throws IOException {
    Files.writeString(path, JSON.writeValueAsString(value) + "\n");
  }
}
