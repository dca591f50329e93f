package tidebank.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import tidebank.model.Settings;

/**
 * What the platform starts a router with.
 *
 * @param name the router's name among all routers
 * @param listen where it listens; port 0 leaves the choice to the system
 * @param discovery the address of discovery
 * @param seed the seed of all random decisions
 * @param budgets how the file descriptors and buffers are shared out
 * @param transport the settings of sockets
 * @param cachedEndpointList the endpoint list as the router last had it, in discovery's form, or
 *     null
 * @param settings the settings of the deployment
 */
public record RouterConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    Budgets budgets,
    Transport transport,
    JsonNode cachedEndpointList,
    Settings settings) {
  private static final String CONFIG_VARIABLE = "NODE_CONFIG";
  private static final String DISCOVERY_VARIABLE = "NODE_DISCOVERY";
  private static final int DEFAULT_SOCKETS = 1024;
  private static final int MIN_SOCKETS = 128;

  /** What the heap of the start command and the JVM's own memory take at rest. */
  private static final int MIN_MEMORY_MB = 80;

  private static final int MAX_PORT = 65_535;
  private static final int HEX_RADIX = 16;
  private static final long SECOND_US = 1_000_000;
  private static final int KIB = 1024;

  /** PROTOCOL: a body holds no more than this. */
  private static final int MAX_BODY_BYTES = 64 * KIB;

  /**
   * How the file descriptors are shared out, and how much one connection may hold.
   *
   * @param maxServedClients client connections beyond this are rejected with a response and closed
   * @param maxAcceptedClients client connections beyond this are not accepted until another closes
   * @param maxIdleClients of client connections without a request beyond this, the one that has
   *     been idle for longest is closed: clients hold a third of the descriptors at most, and some
   *     never send a request
   * @param maxServerConnections connections to all shard servers
   * @param maxConnectionsPerServer connections to one shard server
   * @param maxPipelinedRequests requests of one client connection that are not answered
   * @param minReadBufferBytes the least buffer to read into; small, as a body keeps it
   * @param initialReadBufferBytes the buffer of a connection's first read
   * @param maxReadBufferBytes the largest buffer to read into
   * @param writeLowWaterMark bytes not yet written below which a connection is writable again
   * @param writeHighWaterMark bytes not yet written above which a connection is not writable
   */
  public record Budgets(
      int maxServedClients,
      int maxAcceptedClients,
      int maxIdleClients,
      int maxServerConnections,
      int maxConnectionsPerServer,
      int maxPipelinedRequests,
      int minReadBufferBytes,
      int initialReadBufferBytes,
      int maxReadBufferBytes,
      int writeLowWaterMark,
      int writeHighWaterMark) {
    /**
     * Shares out descriptors: half for clients, of whom those with requests hold a third at most so
     * that silent ones find room beside them, an eighth for rejections, a quarter for shard
     * servers; the rest stays free.
     */
    static Budgets of(int sockets) {
      int eighth = sockets / 8;
      return new Budgets(
          4 * eighth,
          5 * eighth,
          3 * eighth / 2,
          2 * eighth,
          Math.max(1, eighth / 8),
          16,
          64,
          2 * KIB,
          16 * KIB,
          32 * KIB,
          128 * KIB);
    }
  }

  /**
   * Settings of sockets, from the deployment's settings or from the protocol.
   *
   * @param connectTimeoutUs how long connecting or a health check may take, in microseconds
   * @param keepaliveUs how long servers keep an idle connection open, in microseconds
   * @param maxStreams batches that may be in flight on one connection to a shard server
   * @param loadReportOnHealthCheck whether servers report their load on a health check
   * @param maxBodyBytes the longest body
   * @param requestTimeoutUs how long a client may take to send a request, in microseconds
   * @param minIdleUs how long a client's connection stays open without a request at least, in
   *     microseconds
   */
  public record Transport(
      long connectTimeoutUs,
      long keepaliveUs,
      int maxStreams,
      boolean loadReportOnHealthCheck,
      int maxBodyBytes,
      long requestTimeoutUs,
      long minIdleUs) {
    private static final long MIN_CONNECT_TIMEOUT_US = 1000;

    static Transport of(JsonNode settings) throws MalformedInputException {
      JsonNode limits = settings.path("limits");
      return new Transport(
          Math.max(MIN_CONNECT_TIMEOUT_US, JsonFields.duration(limits, "connectTimeoutMs", 250)),
          JsonFields.duration(limits, "keepaliveMs", 15_000),
          Math.max(1, JsonFields.integer(limits, "maxStreams", 100)),
          JsonFields.text(settings.path("report"), "how", "off").equals("on_probe"),
          MAX_BODY_BYTES,
          // A client gets an error or an end within 3 s of connecting; half a second stays free.
          5 * SECOND_US / 2,
          // A connection without an open request may be closed after so long.
          2 * SECOND_US);
    }
  }

  /**
   * Reads the environment and the file that NODE_CONFIG names. A variable takes precedence over the
   * file.
   *
   * @throws MalformedInputException if anything is missing or invalid
   */
  public static RouterConfig read(Map<String, String> environment) throws MalformedInputException {
    return read(environment, readFile(environment));
  }

  /**
   * Reads the configuration again while the router runs. The environment is that of its start, so
   * the file's address of discovery is newer and takes precedence.
   *
   * @throws MalformedInputException if anything is missing or invalid
   */
  public static RouterConfig reread(Map<String, String> environment)
      throws MalformedInputException {
    JsonNode file = readFile(environment);
    Map<String, String> remaining = new HashMap<>(environment);
    if (!file.path("discovery").asText("").isEmpty()) {
      remaining.remove(DISCOVERY_VARIABLE);
    }
    return read(remaining, file);
  }

  private static RouterConfig read(Map<String, String> environment, JsonNode file)
      throws MalformedInputException {
    JsonNode settingsNode = settingsNode(file);
    Settings settings;
    Transport transport;
    try {
      settings = SettingsReader.read(settingsNode);
      transport = Transport.of(settingsNode);
    } catch (MalformedInputException fault) {
      throw new MalformedInputException("settings: " + fault.getMessage());
    }
    checkSettings(settings);
    JsonNode cachedList = file.path("known");
    return new RouterConfig(
        readText(environment, "NODE_NAME", file, "name"),
        parseAddress("NODE_LISTEN or listen", readText(environment, "NODE_LISTEN", file, "listen")),
        parseAddress(
            "NODE_DISCOVERY or discovery",
            readText(environment, DISCOVERY_VARIABLE, file, "discovery")),
        parseSeed(file.path("seed")),
        readBudgets(file.path("limits")),
        transport,
        cachedList.isObject() ? cachedList : null,
        settings);
  }

  private static void checkSettings(Settings settings) throws MalformedInputException {
    if (settings.queryClasses().isEmpty()) {
      throw malformed("settings.services", "none", "a list of table types");
    }
    Settings.Layout layout = settings.layout();
    if (layout.shards() < 1 || layout.positions() < 1 || layout.replicationSpan() < 1) {
      String found =
          "slices="
              + layout.shards()
              + " positions="
              + layout.positions()
              + " width="
              + layout.replicationSpan();
      throw malformed("settings.specifics", found, "slices, positions and width from 1");
    }
  }

  private static JsonNode readFile(Map<String, String> environment) throws MalformedInputException {
    String path = environment.getOrDefault(CONFIG_VARIABLE, "");
    if (path.isEmpty()) {
      throw malformed(CONFIG_VARIABLE, "nothing", "the path of a JSON file");
    }
    JsonNode file;
    try {
      file = new ObjectMapper().readTree(Files.readAllBytes(Path.of(path)));
    } catch (JsonProcessingException invalid) {
      String found = path + ": " + invalid.getOriginalMessage();
      throw malformed(CONFIG_VARIABLE, found, "a file that holds a JSON object");
    } catch (IOException | RuntimeException unreadable) {
      throw malformed(CONFIG_VARIABLE, path, "a file that can be read");
    }
    if (file == null || !file.isObject()) {
      throw malformed(CONFIG_VARIABLE, path, "a file that holds a JSON object");
    }
    return file;
  }

  private static JsonNode settingsNode(JsonNode file) throws MalformedInputException {
    JsonNode settings = file.path("settings");
    if (!settings.isObject()) {
      throw malformed("settings", describe(settings), "an object");
    }
    return settings;
  }

  private static String readText(
      Map<String, String> environment, String variable, JsonNode file, String key)
      throws MalformedInputException {
    String fromEnvironment = environment.getOrDefault(variable, "");
    String value = fromEnvironment.isEmpty() ? file.path(key).asText("") : fromEnvironment;
    if (value.isEmpty()) {
      throw malformed(variable + " or " + key, "nothing", "a text");
    }
    return value;
  }

  /**
   * Parses an address HOST:PORT with a numeric host, as there is no DNS.
   *
   * @param key what a message calls the address
   * @throws MalformedInputException if it is not of that form
   */
  public static InetSocketAddress parseAddress(String key, String value)
      throws MalformedInputException {
    int colon = value.lastIndexOf(':');
    String host = colon < 0 ? "" : value.substring(0, colon);
    try {
      int port = Integer.parseInt(value.substring(colon + 1));
      if (NetUtil.isValidIpV4Address(host) && port >= 0 && port <= MAX_PORT) {
        return new InetSocketAddress(NetUtil.createInetAddressFromIpAddressString(host), port);
      }
    } catch (NumberFormatException invalidPort) {
      // Falls through to the message below.
    }
    throw malformed(key, value, "an address such as 127.0.0.1:3000");
  }

  private static long parseSeed(JsonNode value) throws MalformedInputException {
    try {
      return Long.parseUnsignedLong(value.asText(""), HEX_RADIX);
    } catch (NumberFormatException invalid) {
      throw malformed("seed", describe(value), "16 hex digits");
    }
  }

  private static Budgets readBudgets(JsonNode limits) throws MalformedInputException {
    readLimit(limits, "memory_mb", MIN_MEMORY_MB, MIN_MEMORY_MB);
    return Budgets.of(readLimit(limits, "sockets", MIN_SOCKETS, DEFAULT_SOCKETS));
  }

  /** Reads a limit of the platform; one that is too small to run in is a fault. */
  private static int readLimit(JsonNode limits, String key, int min, int defaultValue)
      throws MalformedInputException {
    JsonNode value = limits.path(key);
    if (!value.isMissingNode() && (!value.canConvertToInt() || value.intValue() < min)) {
      throw malformed("limits." + key, value.toString(), "a whole number from " + min);
    }
    return value.asInt(defaultValue);
  }

  private static String describe(JsonNode value) {
    return value.isMissingNode() ? "nothing" : value.toString();
  }

  private static MalformedInputException malformed(String key, String found, String wanted) {
    return new MalformedInputException(key + ": found " + found + ", wanted " + wanted);
  }
}
