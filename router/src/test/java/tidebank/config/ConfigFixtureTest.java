package tidebank.config;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tidebank.capture.CaptureRecorder;
import tidebank.fixtures.StoredCases;
import tidebank.fleet.FleetAgent;
import tidebank.model.Idempotency;
import tidebank.model.QueryClass;
import tidebank.model.Settings;

/**
 * Guards against a setting that is read into the wrong field, gets another default, or is rejected
 * with another message than before. The fixtures hold the inputs and the expected results.
 */
class ConfigFixtureTest {
  private static final Map<Idempotency, String> SEMANTICS =
      Map.of(
          Idempotency.IDEMPOTENT,
          "read_like",
          Idempotency.WITH_KEY,
          "idempotency_key",
          Idempotency.NON_IDEMPOTENT,
          "other");

  @TempDir Path folder;

  /** Named values in the order in which the fixture lists them. */
  private static final class Fields {
    private final Map<String, Object> values = new LinkedHashMap<>();

    Fields put(String name, Object value) {
      values.put(name, value);
      return this;
    }

    String toLines() {
      return values.entrySet().stream()
          .map(entry -> entry.getKey() + "=" + entry.getValue() + "\n")
          .collect(Collectors.joining());
    }
  }

  private RouterConfig read(byte[] text, Map<String, String> environment) throws Exception {
    Path file = Files.write(folder.resolve("node.json"), text);
    Map<String, String> withFile = new TreeMap<>(environment);
    withFile.put("NODE_CONFIG", file.toString());
    return RouterConfig.read(withFile);
  }

  private static String formatAddress(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static void putQueryClass(Fields fields, String key, QueryClass queryClass) {
    fields
        .put(key + ".name", queryClass.name())
        .put(key + ".semantics", SEMANTICS.get(queryClass.idempotency()))
        .put(key + ".windowUs", queryClass.idempotencyWindowUs())
        .put(key + ".onTimeUs", queryClass.latencyObjectiveUs())
        .put(key + ".deadlineUs", queryClass.timeoutUs())
        .put(key + ".lateWorth", queryClass.lateWeight())
        .put(key + ".floorByClass", queryClass.minimumWeight())
        .put(key + ".classNeed", queryClass.completeWeight())
        .put(key + ".secondStep", queryClass.secondStageRequests());
  }

  private static void putSettings(Fields fields, Settings settings) {
    fields
        .put("instances", settings.routers())
        .put("rank", settings.routerIndex())
        .put("tickUs", settings.tickUs())
        .put("tenants", settings.quotas())
        .put("overShareWorth", settings.overQuotaWeight())
        .put("slowestUs", settings.longestTimeoutUs())
        .put("shortestOnTimeUs", settings.shortestObjectiveUs());
    settings
        .queryClasses()
        .forEach((name, queryClass) -> putQueryClass(fields, "services." + name, queryClass));
    Settings.Layout layout = settings.layout();
    fields
        .put("slices", layout.shards())
        .put("positions", layout.positions())
        .put("width", layout.replicationSpan())
        .put("bundleMax", layout.maxBatchSize())
        .put("callUs", layout.batchOverheadUs());
    Settings.Limits limits = settings.limits();
    fields
        .put("maxAttempts", limits.maxAttempts())
        .put("secondCopies", limits.hedging())
        .put("cancel", limits.cancellation())
        .put("mayProbe", limits.healthChecks())
        .put("retryAfter", limits.retryAfter())
        .put("maxRetryAfterUs", limits.maxRetryAfterUs())
        .put("mostHeld", limits.maxPending())
        .put("discoveryAsk", limits.watchOnRequest());
    Settings.Rules rules = settings.rules();
    fields
        .put("answerSlackUs", rules.responseSlackUs())
        .put("askEveryUs", rules.pollIntervalUs())
        .put("stopSendingWithinUs", rules.drainGraceUs())
        .put("coldFrom", rules.slowStartInitialShare())
        .put("coldUs", rules.slowStartUs())
        .put("fallMultiple", rules.overloadMultiple())
        .put("tipAfterUs", rules.overloadWindowUs())
        .put("freeResends", rules.retryBudgetFloor())
        .put("extraRatio", rules.retryBudgetRatio())
        .put("ratioSpanUs", rules.retryBudgetWindowUs());
  }

  private static String describe(RouterConfig config) {
    Fields fields =
        new Fields()
            .put("name", config.name())
            .put("listen", formatAddress(config.listen()))
            .put("discovery", formatAddress(config.discovery()))
            .put("seed", Long.toHexString(config.seed()))
            .put("known", config.cachedEndpointList());
    putSettings(fields, config.settings());
    RouterConfig.Budgets budgets = config.budgets();
    fields
        .put("budget.clients", budgets.maxServedClients())
        .put("budget.clientsMost", budgets.maxAcceptedClients())
        .put("budget.resting", budgets.maxIdleClients())
        .put("budget.servers", budgets.maxServerConnections())
        .put("budget.serverMost", budgets.maxConnectionsPerServer())
        .put("budget.pipelineMost", budgets.maxPipelinedRequests())
        .put("budget.readLeast", budgets.minReadBufferBytes())
        .put("budget.readFirst", budgets.initialReadBufferBytes())
        .put("budget.readMost", budgets.maxReadBufferBytes())
        .put("budget.writeLow", budgets.writeLowWaterMark())
        .put("budget.writeHigh", budgets.writeHighWaterMark());
    RouterConfig.Transport transport = config.transport();
    return fields
        .put("connectTimeoutUs", transport.connectTimeoutUs())
        .put("keepaliveUs", transport.keepaliveUs())
        .put("maxStreams", transport.maxStreams())
        .put("reportOnProbe", transport.loadReportOnHealthCheck())
        .put("bodyMost", transport.maxBodyBytes())
        .put("requestWithinUs", transport.requestTimeoutUs())
        .put("restLeastUs", transport.minIdleUs())
        .toLines();
  }

  private static String describe(OperatorConfig config) {
    Fields fields =
        new Fields()
            .put("log.level", config.logging().minLevel())
            .put("log.form", config.logging().format())
            .put("log.lines_a_second", config.logging().maxLinesPerSecond())
            .put("report.counters_every_us", config.counterLogIntervalUs());
    CaptureRecorder.Config capture = config.capture();
    if (capture != null) {
      fields
          .put("capture.folder", capture.directory())
          .put("capture.wholeActions", capture.keepActions())
          .put("capture.ring_turns", capture.queueCapacity())
          .put("capture.segment_bytes", capture.segmentBytes())
          .put("capture.budget_bytes", capture.maxTotalBytes())
          .put("capture.force", capture.syncEveryBlock());
    }
    FleetAgent.Config fleet = config.fleet();
    if (fleet != null) {
      fields
          .put("fleet.stewards", fleet.coordinators())
          .put("fleet.folder", fleet.sharedFolder())
          .put("fleet.every_us", fleet.intervalUs())
          .put("fleet.keep_us", fleet.retention().maxAgeUs())
          .put("fleet.keep_bytes", fleet.retention().maxTotalBytes());
    }
    return fields.toLines();
  }

  /** Guards against a setting that is ignored or read into the wrong field. */
  @Test
  void fullConfigurationMatchesTheFixture() throws Exception {
    byte[] full = StoredCases.readText("config/node-full.json").getBytes(UTF_8);
    StoredCases.assertMatchesFile("config/node-full.txt", describe(read(full, Map.of())));
  }

  /** Guards against a changed default, which applies where the platform leaves a setting out. */
  @Test
  void minimalConfigurationGetsTheDefaultsOfTheFixture() throws Exception {
    byte[] minimal = StoredCases.readText("config/node-least.json").getBytes(UTF_8);
    Map<String, String> environment =
        Map.of("NODE_NAME", "n7", "NODE_LISTEN", "0.0.0.0:80", "NODE_DISCOVERY", "10.1.2.3:4");
    StoredCases.assertMatchesFile("config/node-least.txt", describe(read(minimal, environment)));
  }

  /**
   * Guards against invalid values that are accepted or reported with an unclear message. Each input
   * is a replacement in the full configuration.
   */
  @Test
  void invalidConfigurationsGiveTheMessagesOfTheFixture() throws Exception {
    String full = StoredCases.readText("config/node-full.json");
    StoredCases.assertParsedAsStored(
        "config/node-faults.txt",
        input -> {
          String[] replacement = new String(input, UTF_8).split(" => ", -1);
          if (!full.contains(replacement[0])) {
            return "no such text";
          }
          try {
            read(full.replace(replacement[0], replacement[1]).getBytes(UTF_8), Map.of());
            return "no fault";
          } catch (MalformedInputException fault) {
            return fault.getMessage().replace(folder.toString(), "FOLDER");
          }
        });
  }

  /** Guards against an option that is ignored or read into the wrong field. */
  @Test
  void fullOperatorFileMatchesTheFixture() throws Exception {
    String full = StoredCases.readText("config/operator-full.toml");
    StoredCases.assertMatchesFile(
        "config/operator-full.txt", describe(OperatorConfig.read(Toml.read("own.toml", full))));
  }

  /** Guards against changed defaults, and against faults without their key and line. */
  @Test
  void operatorFilesGiveTheResultsOfTheFixture() throws Exception {
    StoredCases.assertParsedAsStored(
        "config/operator-files.txt",
        input -> {
          try {
            return describe(OperatorConfig.read(Toml.read("own.toml", new String(input, UTF_8))));
          } catch (MalformedInputException fault) {
            return "fault: " + fault.getMessage();
          }
        });
  }
}
