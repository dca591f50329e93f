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
 * Parses endpoint lists in discovery's form. A list with any fault is rejected as a whole.
 *
 * <p>This is the only class that knows discovery's words: {@code whole}, {@code hosts}, {@code
 * health} and so on.
 */
public final class EndpointListParser {
  private static final double DEFAULT_CAPACITY = 1;

  /**
   * An endpoint list, or the changes in it.
   *
   * @param version the version of the list that this leads to
   * @param complete whether it names all endpoints, so that any other has left
   * @param endpoints the endpoints, each named once
   */
  public record EndpointList(long version, boolean complete, List<ResolvedEndpoint> endpoints) {}

  private EndpointListParser() {}

  /**
   * Parses a list.
   *
   * @throws MalformedInputException if a field is missing or invalid, or an endpoint is named twice
   */
  public static EndpointList parse(JsonNode list) throws MalformedInputException {
    JsonNode complete = JsonFields.required(list, "whole");
    JsonNode hosts = JsonFields.required(list, "hosts");
    if (!complete.isBoolean() || !hosts.isArray()) {
      throw new MalformedInputException(
          "field 'whole' is not true or false, or 'hosts' is not a list");
    }
    List<ResolvedEndpoint> members = new ArrayList<>();
    Set<String> servers = new HashSet<>();
    for (JsonNode host : hosts) {
      ResolvedEndpoint member = member(host);
      String server = member.endpoint().server();
      if (!servers.add(server)) {
        throw new MalformedInputException("host '" + server + "' is listed twice");
      }
      members.add(member);
    }
    return new EndpointList(JsonFields.integer(list, "seq"), complete.booleanValue(), members);
  }

  private static ResolvedEndpoint member(JsonNode host) throws MalformedInputException {
    String server = JsonFields.text(host, "host");
    EndpointStatus status = status(server, JsonFields.text(host, "health"));
    Endpoint endpoint =
        new Endpoint(
            server,
            (int) JsonFields.integer(host, "block"),
            status,
            startedAt(host),
            JsonFields.number(host, "share", DEFAULT_CAPACITY));
    return new ResolvedEndpoint(
        endpoint,
        RouterConfig.address("dial of host '" + server + "'", JsonFields.text(host, "dial")));
  }

  private static EndpointStatus status(String server, String health)
      throws MalformedInputException {
    return switch (health) {
      case "Ready" -> EndpointStatus.IN_SERVICE;
      case "Terminating" -> EndpointStatus.DRAINING;
      case "Gone" -> EndpointStatus.GONE;
      default -> throw new MalformedInputException("host '" + server + "' has an unknown health");
    };
  }

  /** Returns when the server was started, in microseconds; 0 if that is long ago or unknown. */
  private static long startedAt(JsonNode host) throws MalformedInputException {
    long startedAtMs = Math.round(JsonFields.number(host, "born_ms", 0));
    return Clock.ofUnixMillis(Math.max(0, startedAtMs));
  }
}
