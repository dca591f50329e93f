package tidebank.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.util.NetUtil;
import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import tidebank.model.Settings;

/**
 * The configuration that the platform starts a router with.
 *
 * @param name the unique name of the router
 * @param listen the address to listen on; with port 0 the system picks a port
 * @param discovery the address of discovery
 * @param seed the seed of all random decisions
 * @param budgets the limits on connections and buffers
 * @param transport the settings of connections
 * @param cachedEndpointList the last endpoint list that the router had, in the format of discovery,
 *     or null
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

  /**
   * Minimum memory limit, in MB. An idle router uses the heap set by the start command and the
   * JVM's own memory.
   */
  private static final int MIN_MEMORY_MB = 80;

  private static final int MAX_PORT = 65_535;
  private static final int HEX_RADIX = 16;
  private static final long SECOND_US = 1_000_000;
  private static final int KIB = 1024;

  /** Maximum length of a body, as set by the protocol. */
  private static final int MAX_BODY_BYTES = 64 * KIB;

  /**
   * The limits on connections, derived from the limit on file descriptors, and on their buffers.
   *
   * @param maxServedClients maximum number of client connections served; further ones get a
   *     rejection and are closed
   * @param maxAcceptedClients maximum number of open client connections, including rejected ones;
   *     further ones are accepted only after another closes
   * @param maxIdleClients maximum number of idle client connections; beyond it, the longest idle
   *     one is closed. Clients hold at most a third of the descriptors, and some never send a
   *     request.
   * @param maxServerConnections maximum number of connections to all shard servers
   * @param maxConnectionsPerServer maximum number of connections to one shard server
   * @param maxIncompleteBodyBytes maximum memory held by the bodies of incomplete requests of all
   *     clients together
   * @param maxPipelinedRequests maximum number of unanswered requests on a client connection
   * @param minReadBufferBytes minimum size of a read buffer, small because a body keeps its buffer
   * @param initialReadBufferBytes size of the buffer for the first read of a connection
   * @param maxReadBufferBytes maximum size of a read buffer
   * @param writeLowWaterMark pending bytes below which a connection becomes writable again
   * @param writeHighWaterMark pending bytes above which a connection is not writable
   */
  public record Budgets(
      int maxServedClients,
      int maxAcceptedClients,
      int maxIdleClients,
      int maxServerConnections,
      int maxConnectionsPerServer,
      long maxIncompleteBodyBytes,
      int maxPipelinedRequests,
      int minReadBufferBytes,
      int initialReadBufferBytes,
      int maxReadBufferBytes,
      int writeLowWaterMark,
      int writeHighWaterMark) {
    /** The rest is for responses, shard servers and requests that arrive complete. */
    private static final int MEMORY_SHARE_OF_INCOMPLETE_BODIES = 4;

    /**
     * Shares out the file descriptors: half for clients, an eighth for connections that are
     * rejected, and a quarter for shard servers; the rest stays free. Clients with requests hold at
     * most a third of the descriptors, so that there is room for connections that never send one.
     */
    static Budgets of(int sockets) {
      int eighth = sockets / 8;
      return new Budgets(
          4 * eighth,
          5 * eighth,
          3 * eighth / 2,
          2 * eighth,
          Math.max(1, eighth / 8),
          Math.min(
              4L * eighth * MAX_BODY_BYTES,
              PlatformDependent.maxDirectMemory() / MEMORY_SHARE_OF_INCOMPLETE_BODIES),
          16,
          64,
          2 * KIB,
          16 * KIB,
          32 * KIB,
          128 * KIB);
    }
  }

  /**
   * The settings of connections, from the deployment's settings or from the protocol.
   *
   * @param connectTimeoutUs timeout of a connection attempt and of a health check, in microseconds
   * @param keepaliveUs time that servers keep an idle connection open, in microseconds
   * @param maxStreams maximum number of batches in flight on a connection to a shard server
   * @param loadReportOnHealthCheck whether servers respond to a health check with a load report
   * @param maxBodyBytes maximum length of a body, in bytes
   * @param requestTimeoutUs time that a client may take to send a request, in microseconds
   * @param minIdleUs minimum idle time of a client connection before the router may close it, in
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
          // A client must get an error or a close within 3 s of connecting; 0.5 s is a reserve.
          5 * SECOND_US / 2,
          // The protocol allows closing a connection without an open request after 2 s.
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
   * Reads the configuration again while the router runs. The environment dates from the start of
   * the process, so an address of discovery in the file is newer and takes precedence.
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
      throw malformed("settings.services", "none", "a list of query classes");
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
      throw malformed("settings.specifics", found, "slices, positions and width of at least 1");
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
      throw malformed(variable + " or " + key, "nothing", "a string");
    }
    return value;
  }

  /**
   * Parses an address of the form HOST:PORT. The host is an IPv4 address, because there is no DNS.
   *
   * @param key the key that the message of an exception names
   * @throws MalformedInputException if the address has another form
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

  /** Returns a limit set by the platform. Throws if the router cannot run within it. */
  private static int readLimit(JsonNode limits, String key, int min, int defaultValue)
      throws MalformedInputException {
    JsonNode value = limits.path(key);
    if (!value.isMissingNode() && (!value.canConvertToInt() || value.intValue() < min)) {
      throw malformed("limits." + key, value.toString(), "a whole number of at least " + min);
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
