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
 * All that a gatherer is started with. {@code cachedList} is the list of shard servers as it last
 * had it, in discovery's form, or null.
 */
public record RouterConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    Budgets budgets,
    Transport transport,
    JsonNode cachedList,
    Settings settings) {
  private static final int SOCKETS_DEFAULT = 1024;
  private static final int SOCKETS_LEAST = 128;

  /** What the heap that {@code run} fixes and the machine's own parts take at rest. */
  private static final int MEMORY_LEAST_MB = 80;

  private static final long SECOND_US = 1_000_000;
  private static final int KIB = 1024;

  /** PROTOCOL: a body holds no more than this. */
  private static final int BODY_MOST = 64 * KIB;

  /**
   * How the descriptors are shared out. Past {@code maxServedClients} a further connection is
   * answered with a plain refusal and closed; past {@code maxAcceptedClients} none is accepted
   * until one has gone. Past {@code maxIdleClients} connections without a request the one that has
   * been so for longest is closed: clients hold a third of the descriptors at most, and some never
   * ask again. The rest bounds what one connection may hold: requests not yet answered, the buffers
   * it is read into (a body keeps them, so they are small) and, from {@code writeHighWaterMark}
   * down to {@code writeLowWaterMark}, bytes not yet written.
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
     * Half for clients, who hold a third at most for requests, so that silent ones find room beside
     * them, an eighth for refusals, a quarter for shard servers; the rest stays free.
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

  /** Figures of the sockets, from the settings or from the pages. */
  public record Transport(
      long connectTimeoutUs,
      long keepaliveUs,
      int maxStreams,
      boolean loadReportOnHealthCheck,
      int maxBodyBytes,
      long requestTimeoutUs,
      long minIdleUs) {
    static Transport of(JsonNode settings) throws MalformedInputException {
      JsonNode limits = settings.path("limits");
      return new Transport(
          Math.max(1000, JsonFields.duration(limits, "connectTimeoutMs", 250)),
          JsonFields.duration(limits, "keepaliveMs", 15_000),
          Math.max(1, JsonFields.integer(limits, "maxStreams", 100)),
          JsonFields.text(settings.path("report"), "how", "off").equals("on_probe"),
          BODY_MOST,
          // A client is owed an error or an end within 3 s of connecting; half a second stays free.
          5 * SECOND_US / 2,
          // A connection without an open request may be closed after so long.
          2 * SECOND_US);
    }
  }

  /** Reads the environment and the file that NODE_CONFIG names; a variable goes before the file. */
  public static RouterConfig read(Map<String, String> env) throws MalformedInputException {
    return read(env, file(env));
  }

  /**
   * The same while the program runs: the environment is that of its start, so the file's discovery
   * is newer.
   */
  public static RouterConfig reread(Map<String, String> env) throws MalformedInputException {
    JsonNode file = file(env);
    Map<String, String> rest = new HashMap<>(env);
    if (!file.path("discovery").asText("").isEmpty()) {
      rest.remove("NODE_DISCOVERY");
    }
    return read(rest, file);
  }

  private static RouterConfig read(Map<String, String> env, JsonNode file)
      throws MalformedInputException {
    JsonNode settingsNode = object(file, "settings");
    Settings settings;
    Transport transport;
    try {
      settings = SettingsReader.read(settingsNode);
      transport = Transport.of(settingsNode);
    } catch (MalformedInputException fault) {
      throw new MalformedInputException("settings: " + fault.getMessage());
    }
    if (settings.queryClasses().isEmpty()) {
      throw wrong("settings.services", "none", "a list of table types");
    }
    if (settings.layout().shards() < 1
        || settings.layout().positions() < 1
        || settings.layout().replicationSpan() < 1) {
      throw wrong(
          "settings.specifics",
          String.valueOf(settings.layout()),
          "slices, positions and width from 1");
    }
    JsonNode known = file.path("known");
    return new RouterConfig(
        text(env, "NODE_NAME", file, "name"),
        address("NODE_LISTEN or listen", text(env, "NODE_LISTEN", file, "listen")),
        address("NODE_DISCOVERY or discovery", text(env, "NODE_DISCOVERY", file, "discovery")),
        seed(file.path("seed")),
        budgets(file.path("limits")),
        transport,
        known.isObject() ? known : null,
        settings);
  }

  private static JsonNode file(Map<String, String> env) throws MalformedInputException {
    String path = env.getOrDefault("NODE_CONFIG", "");
    if (path.isEmpty()) {
      throw wrong("NODE_CONFIG", "nothing", "the path of a JSON file");
    }
    try {
      JsonNode file = new ObjectMapper().readTree(Files.readAllBytes(Path.of(path)));
      if (file == null || !file.isObject()) {
        throw wrong("NODE_CONFIG", path, "a file that holds a JSON object");
      }
      return file;
    } catch (JsonProcessingException fault) {
      throw wrong(
          "NODE_CONFIG",
          path + ": " + fault.getOriginalMessage(),
          "a file that holds a JSON object");
    } catch (IOException | RuntimeException fault) {
      if (fault instanceof MalformedInputException malformed) {
        throw malformed;
      }
      throw wrong("NODE_CONFIG", path, "a file that can be read");
    }
  }

  private static JsonNode object(JsonNode file, String key) throws MalformedInputException {
    JsonNode value = file.path(key);
    if (!value.isObject()) {
      throw wrong(key, value.isMissingNode() ? "nothing" : value.toString(), "an object");
    }
    return value;
  }

  private static String text(Map<String, String> env, String variable, JsonNode file, String key)
      throws MalformedInputException {
    String value = env.getOrDefault(variable, "");
    value = value.isEmpty() ? file.path(key).asText("") : value;
    if (value.isEmpty()) {
      throw wrong(variable + " or " + key, "nothing", "a text");
    }
    return value;
  }

  /** An address HOST:PORT with a numeric host: there is no DNS. */
  public static InetSocketAddress address(String key, String value) throws MalformedInputException {
    int colon = value.lastIndexOf(':');
    String host = colon < 0 ? "" : value.substring(0, colon);
    try {
      int port = Integer.parseInt(value.substring(colon + 1));
      if (NetUtil.isValidIpV4Address(host) && port >= 0 && port <= 65_535) {
        return new InetSocketAddress(NetUtil.createInetAddressFromIpAddressString(host), port);
      }
    } catch (NumberFormatException fault) {
      // Falls through to the message below.
    }
    throw wrong(key, value, "an address such as 127.0.0.1:3000");
  }

  private static long seed(JsonNode value) throws MalformedInputException {
    try {
      return Long.parseUnsignedLong(value.asText(""), 16);
    } catch (NumberFormatException fault) {
      throw wrong("seed", value.isMissingNode() ? "nothing" : value.toString(), "16 hex digits");
    }
  }

  private static Budgets budgets(JsonNode limits) throws MalformedInputException {
    limit(limits, "memory_mb", MEMORY_LEAST_MB, MEMORY_LEAST_MB);
    return Budgets.of(limit(limits, "sockets", SOCKETS_LEAST, SOCKETS_DEFAULT));
  }

  /** A limit of the day; one too small to run in is a fault. */
  private static int limit(JsonNode limits, String key, int least, int absent)
      throws MalformedInputException {
    JsonNode value = limits.path(key);
    if (!value.isMissingNode() && (!value.canConvertToInt() || value.intValue() < least)) {
      throw wrong("limits." + key, value.toString(), "a whole number from " + least);
    }
    return value.asInt(absent);
  }

  private static MalformedInputException wrong(String key, String found, String wanted) {
    return new MalformedInputException(key + ": found " + found + ", wanted " + wanted);
  }
}
