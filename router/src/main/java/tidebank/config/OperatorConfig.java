package tidebank.config;

import java.nio.file.Path;
import java.util.List;
import org.slf4j.event.Level;
import tidebank.capture.CaptureRecorder;
import tidebank.fleet.FleetAgent;
import tidebank.fleet.RemovalList;
import tidebank.logging.Log;

/**
 * The operator's configuration file, with options that the platform's configuration lacks. Options
 * that are absent from the file are off or have their defaults.
 *
 * @param logging the log settings
 * @param counterLogIntervalUs the time between two logs of the counters, in microseconds
 * @param capture the settings of the capture of decision inputs, or null if nothing is captured
 * @param fleet the settings for singleton tasks of the fleet, or null if the router takes none
 */
public record OperatorConfig(
    Log.Settings logging,
    long counterLogIntervalUs,
    CaptureRecorder.Config capture,
    FleetAgent.Config fleet) {
  private static final long BYTES_PER_MB = 1 << 20;
  private static final long US_PER_MS = 1000;
  private static final long US_PER_SECOND = 1_000_000;
  private static final long SECONDS_PER_DAY = 86_400;
  private static final long DEFAULT_COUNTER_LOG_INTERVAL_S = 60;
  private static final String ADDRESS_PATTERN = "[^:]+:\\d{1,5}";

  /** The configuration that applies if there is no file. */
  public static final OperatorConfig DEFAULT =
      new OperatorConfig(
          Log.Settings.DEFAULT, DEFAULT_COUNTER_LOG_INTERVAL_S * US_PER_SECOND, null, null);

  /** What a capture records of the actions of a decision round; named in lower case in the file. */
  private enum RecordedActions {
    DIGEST,
    WHOLE
  }

  /** Log levels that the file may name. */
  private enum LogLevel {
    ERROR(Level.ERROR),
    WARN(Level.WARN),
    INFO(Level.INFO),
    DEBUG(Level.DEBUG);

    private final Level level;

    LogLevel(Level level) {
      this.level = level;
    }
  }

  /**
   * Reads a file.
   *
   * @throws MalformedInputException if it cannot be read, or has an unknown key or an invalid value
   */
  public static OperatorConfig read(Path file) throws MalformedInputException {
    return read(Toml.read(file));
  }

  static OperatorConfig read(Toml file) throws MalformedInputException {
    Toml.Table root = file.root();
    Log.Settings logging = readLogSettings(root.table("log"));
    long counterLogIntervalS =
        root.table("report")
            .integer("counters_every_s", DEFAULT_COUNTER_LOG_INTERVAL_S, 1, SECONDS_PER_DAY);
    CaptureRecorder.Config capture = readCapture(root.table("capture"));
    FleetAgent.Config fleet = readFleet(root.table("fleet"));
    file.check();
    return new OperatorConfig(logging, counterLogIntervalS * US_PER_SECOND, capture, fleet);
  }

  /** Reads the log settings from the table {@code log} of a file. */
  public static Log.Settings readLogSettings(Toml.Table table) {
    LogLevel level = table.choice("level", LogLevel.INFO, LogLevel.class);
    Log.Format format = table.choice("form", Log.Format.TEXT, Log.Format.class);
    int defaultLines = Log.Settings.DEFAULT.maxLinesPerSecond();
    int maxLinesPerSecond = (int) table.integer("lines_a_second", defaultLines, 1, 10_000);
    return new Log.Settings(level.level, format, maxLinesPerSecond);
  }

  private static CaptureRecorder.Config readCapture(Toml.Table table) {
    String folder = table.text("folder", "");
    CaptureRecorder.Config config =
        new CaptureRecorder.Config(
            Path.of(folder),
            table.choice("actions", RecordedActions.DIGEST, RecordedActions.class)
                == RecordedActions.WHOLE,
            (int) table.integer("ring_turns", 4096, 16, 1 << 20),
            table.integer("segment_mb", 8, 1, 1024) * BYTES_PER_MB,
            table.integer("budget_mb", 200, 2, 1 << 20) * BYTES_PER_MB,
            table.flag("force", false));
    if (config.maxTotalBytes() < 2 * config.segmentBytes()) {
      table.addFault(
          "budget_mb",
          "found " + config.maxTotalBytes() / BYTES_PER_MB + ", wanted at least twice segment_mb");
    }
    return folder.isEmpty() ? null : config;
  }

  private static FleetAgent.Config readFleet(Toml.Table table) {
    List<String> coordinators = table.texts("stewards");
    String folder = table.text("folder", "");
    long intervalUs = table.integer("every_ms", 60_000, 100, SECONDS_PER_DAY * 1000) * US_PER_MS;
    RemovalList.RetentionLimits retention =
        new RemovalList.RetentionLimits(
            table.integer("keep_days", 30, 1, 3650) * SECONDS_PER_DAY * US_PER_SECOND,
            table.integer("keep_mb", 1000, 1, 1 << 30) * BYTES_PER_MB);
    for (String coordinator : coordinators) {
      if (!coordinator.matches(ADDRESS_PATTERN)) {
        table.addFault(
            "stewards", "found " + coordinator + ", wanted addresses such as 127.0.0.1:7200");
      }
    }
    if (coordinators.isEmpty()) {
      return null;
    }
    if (folder.isEmpty()) {
      table.addFault("folder", "is missing, wanted the path of the shared folder");
    }
    return new FleetAgent.Config(coordinators, Path.of(folder), intervalUs, retention);
  }
}
