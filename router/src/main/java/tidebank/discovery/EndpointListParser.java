package tidebank.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tidebank.config.JsonFields;
import tidebank.config.MalformedInputException;
import tidebank.config.RouterConfig;
import tidebank.model.Event.Endpoint;
import tidebank.model.Event.EndpointStatus;
import tidebank.runtime.BackendPort.ResolvedEndpoint;
import tidebank.runtime.Clock;

/**
 * A parser of endpoint lists in discovery's format. A list with any fault is rejected entirely.
 *
 * <p>This is the only class that knows discovery's field names and values: {@code whole}, {@code
 * hosts}, {@code health} and so on.
 */
public final class EndpointListParser {
  private static final double DEFAULT_CAPACITY = 1;

  /**
   * An endpoint list, or the changes to one.
   *
   * @param version the version of the list, with these changes applied
   * @param complete whether all endpoints are included, so that any other is gone
   * @param endpoints the endpoints, without duplicates
   */
  public record EndpointList(long version, boolean complete, List<ResolvedEndpoint> endpoints) {}

  private EndpointListParser() {}

  /**
   * Parses a list.
   *
   * @throws MalformedInputException if a field is missing or invalid, or an endpoint is listed
   *     twice
   */
  public static EndpointList parse(JsonNode list) throws MalformedInputException {
    JsonNode complete = JsonFields.requiredField(list, "whole");
    JsonNode hosts = JsonFields.requiredField(list, "hosts");
    if (!complete.isBoolean() || !hosts.isArray()) {
      throw new MalformedInputException(
          "field 'whole' is not true or false, or 'hosts' is not a list");
    }
    List<ResolvedEndpoint> endpoints = new ArrayList<>();
    Set<String> servers = new HashSet<>();
    for (JsonNode host : hosts) {
      ResolvedEndpoint resolved = parseHost(host);
      String server = resolved.endpoint().server();
      if (!servers.add(server)) {
        throw new MalformedInputException("host '" + server + "' is listed twice");
      }
      endpoints.add(resolved);
    }
    return new EndpointList(JsonFields.integer(list, "seq"), complete.booleanValue(), endpoints);
  }

  private static ResolvedEndpoint parseHost(JsonNode host) throws MalformedInputException {
    String server = JsonFields.text(host, "host");
    EndpointStatus status = parseStatus(server, JsonFields.text(host, "health"));
    Endpoint endpoint =
        new Endpoint(
            server,
            (int) JsonFields.integer(host, "block"),
            status,
            parseStartedAt(host),
            JsonFields.number(host, "share", DEFAULT_CAPACITY));
    return new ResolvedEndpoint(
        endpoint,
        RouterConfig.parseAddress("dial of host '" + server + "'", JsonFields.text(host, "dial")));
  }

  private static EndpointStatus parseStatus(String server, String health)
      throws MalformedInputException {
    return switch (health) {
      case "Ready" -> EndpointStatus.IN_SERVICE;
      case "Terminating" -> EndpointStatus.DRAINING;
      case "Gone" -> EndpointStatus.GONE;
      default -> throw new MalformedInputException("host '" + server + "' has an unknown health");
    };
  }

  /** Returns when the server was started, in microseconds; 0 if that is unknown or long ago. */
  private static long parseStartedAt(JsonNode host) throws MalformedInputException {
    long startedAtMs = Math.round(JsonFields.number(host, "born_ms", 0));
    return Clock.ofUnixMillis(Math.max(0, startedAtMs));
  }
}
