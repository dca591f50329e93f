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
import tidebank.runtime.BackendPort.Member;
import tidebank.runtime.Clock;

/** Reads discovery's lists; a list with any fault is no list. */
public final class EndpointListParser {
  /** A list or what changed in it, and its version. */
  public record EndpointList(long version, boolean complete, List<Member> members) {}

  private EndpointListParser() {}

  public static EndpointList read(JsonNode list) throws MalformedInputException {
    JsonNode whole = JsonFields.required(list, "whole");
    JsonNode hosts = JsonFields.required(list, "hosts");
    if (!whole.isBoolean() || !hosts.isArray()) {
      throw new MalformedInputException("field 'whole' is no flag or 'hosts' no list");
    }
    List<Member> members = new ArrayList<>();
    Set<String> named = new HashSet<>();
    for (JsonNode host : hosts) {
      Member member = member(host);
      if (!named.add(member.endpoint().server())) {
        throw new MalformedInputException(
            "host '" + member.endpoint().server() + "' stands twice in a list");
      }
      members.add(member);
    }
    return new EndpointList(JsonFields.integer(list, "seq"), whole.booleanValue(), members);
  }

  private static Member member(JsonNode host) throws MalformedInputException {
    String id = JsonFields.text(host, "host");
    EndpointStatus status =
        switch (JsonFields.text(host, "health")) {
          case "Ready" -> EndpointStatus.IN_SERVICE;
          case "Terminating" -> EndpointStatus.DRAINING;
          case "Gone" -> EndpointStatus.GONE;
          default -> throw new MalformedInputException("host '" + id + "' has an unknown health");
        };
    Endpoint line =
        new Endpoint(
            id,
            (int) JsonFields.integer(host, "block"),
            status,
            Clock.ofUnixMillis(Math.max(0, Math.round(JsonFields.number(host, "born_ms", 0)))),
            JsonFields.number(host, "share", 1));
    return new Member(
        line, RouterConfig.address("dial of host '" + id + "'", JsonFields.text(host, "dial")));
  }
}
