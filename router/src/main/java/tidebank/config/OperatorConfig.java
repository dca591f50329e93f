package tidebank.config;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.slf4j.event.Level;
import tidebank.capture.CaptureRecorder;
import tidebank.fleet.FleetAgent;
import tidebank.fleet.Retention;
import tidebank.logging.Log;

/**
 * The operator's own file (deploy/gatherer.toml): what a gatherer does beyond its platform's
 * configuration. All of it is off or at its default where the file or a key is absent.
 *
 * @param logging how the process logs
 * @param counterLogIntervalUs how often the counters are logged, in microseconds
 * @param capture how everything that the module is told is recorded, or null
 * @param fleet how the gatherer takes part in its fleet's duties, or null
 */
public record OperatorConfig(
    Log.Settings logging,
    long counterLogIntervalUs,
    CaptureRecorder.Plan capture,
    FleetAgent.Plan fleet) {
  public static final OperatorConfig DEFAULT =
      new OperatorConfig(Log.Settings.DEFAULT, 60_000_000, null, null);
  private static final long MB = 1 << 20;

  private enum Kept {
    DIGEST,
    WHOLE
  }

  private static CaptureRecorder.Plan capture(Toml.Table capture) {
    String folder = capture.text("folder", "");
    CaptureRecorder.Plan plan =
        new CaptureRecorder.Plan(
            Path.of(folder),
            capture.choice("actions", Kept.DIGEST, Kept.class) == Kept.WHOLE,
            (int) capture.integer("ring_turns", 4096, 16, 1 << 20),
            capture.integer("segment_mb", 8, 1, 1024) * MB,
            capture.integer("budget_mb", 200, 2, 1 << 20) * MB,
            capture.flag("force", false));
    if (plan.budgetBytes() < 2 * plan.segmentBytes()) {
      capture.fault("budget_mb", "is less than two segments of segment_mb");
    }
    return folder.isEmpty() ? null : plan;
  }

  private static FleetAgent.Plan fleet(Toml.Table fleet) {
    List<String> stewards = fleet.texts("stewards");
    String folder = fleet.text("folder", "");
    long every = fleet.integer("every_ms", 60_000, 100, 86_400_000) * 1000;
    Retention.Bounds keep =
        new Retention.Bounds(
            fleet.integer("keep_days", 30, 1, 3650) * 86_400_000_000L,
            fleet.integer("keep_mb", 1000, 1, 1 << 30) * MB);
    for (String steward : stewards) {
      if (!steward.matches("[^:]+:\\d{1,5}")) {
        fleet.fault("stewards", "found " + steward + ", wanted addresses such as 127.0.0.1:7200");
      }
    }
    if (!stewards.isEmpty() && folder.isEmpty()) {
      fleet.fault("folder", "is missing, wanted the folder that all members share");
    }
    return stewards.isEmpty() ? null : new FleetAgent.Plan(stewards, Path.of(folder), every, keep);
  }

  private enum LogLevel {
    ERROR,
    WARN,
    INFO,
    DEBUG
  }

  /** How a process logs, by the table {@code logging} of its file. */
  public static Log.Settings logging(Toml.Table log) {
    LogLevel level = log.choice("level", LogLevel.INFO, LogLevel.class);
    return new Log.Settings(
        Level.valueOf(level.name().toUpperCase(Locale.ROOT)),
        log.choice("form", Log.Format.TEXT, Log.Format.class),
        (int) log.integer("lines_a_second", Log.Settings.DEFAULT.maxLinesPerSecond(), 1, 10_000));
  }

  public static OperatorConfig read(Path file) throws MalformedInputException {
    return read(Toml.read(file));
  }

  static OperatorConfig read(Toml file) throws MalformedInputException {
    Log.Settings style = logging(file.root().table("log"));
    long every = file.root().table("report").integer("counters_every_s", 60, 1, 86_400);
    CaptureRecorder.Plan capture = capture(file.root().table("capture"));
    FleetAgent.Plan fleet = fleet(file.root().table("fleet"));
    file.check();
    return new OperatorConfig(style, every * 1_000_000, capture, fleet);
  }
}
