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
 * @param countersEveryUs how often the counters are logged, in microseconds
 * @param capture how everything that the module is told is recorded, or null
 * @param fleet how the gatherer takes part in its fleet's duties, or null
 */
public record OperatorConfig(
    Log.Style logging,
    long countersEveryUs,
    CaptureRecorder.Config capture,
    FleetAgent.Plan fleet) {
  public static final OperatorConfig DEFAULT =
      new OperatorConfig(Log.Style.DEFAULT, 60_000_000, null, null);
  private static final long MB = 1 << 20;

  private enum Kept {
    DIGEST,
    WHOLE
  }

  private static CaptureRecorder.Config capture(Toml.Table capture) {
    String folder = capture.text("folder", "");
    CaptureRecorder.Config plan =
        new CaptureRecorder.Config(
            Path.of(folder),
            capture.choice("actions", Kept.DIGEST, Kept.class) == Kept.WHOLE,
            (int) capture.whole("ring_turns", 4096, 16, 1 << 20),
            capture.whole("segment_mb", 8, 1, 1024) * MB,
            capture.whole("budget_mb", 200, 2, 1 << 20) * MB,
            capture.flag("force", false));
    if (plan.maxTotalBytes() < 2 * plan.segmentBytes()) {
      capture.fault("budget_mb", "is less than two segments of segment_mb");
    }
    return folder.isEmpty() ? null : plan;
  }

  private static FleetAgent.Plan fleet(Toml.Table fleet) {
    List<String> stewards = fleet.texts("stewards");
    String folder = fleet.text("folder", "");
    long every = fleet.whole("every_ms", 60_000, 100, 86_400_000) * 1000;
    Retention.Bounds keep =
        new Retention.Bounds(
            fleet.whole("keep_days", 30, 1, 3650) * 86_400_000_000L,
            fleet.whole("keep_mb", 1000, 1, 1 << 30) * MB);
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
  public static Log.Style style(Toml.Table log) {
    LogLevel level = log.choice("level", LogLevel.INFO, LogLevel.class);
    return new Log.Style(
        Level.valueOf(level.name().toUpperCase(Locale.ROOT)),
        log.choice("form", Log.Form.TEXT, Log.Form.class),
        (int) log.whole("lines_a_second", Log.Style.DEFAULT.linesASecond(), 1, 10_000));
  }

  public static OperatorConfig read(Path file) throws MalformedInputException {
    return read(Toml.read(file));
  }

  static OperatorConfig read(Toml file) throws MalformedInputException {
    Log.Style style = style(file.root().table("log"));
    long every = file.root().table("report").whole("counters_every_s", 60, 1, 86_400);
    CaptureRecorder.Config capture = capture(file.root().table("capture"));
    FleetAgent.Plan fleet = fleet(file.root().table("fleet"));
    file.check();
    return new OperatorConfig(style, every * 1_000_000, capture, fleet);
  }
}
