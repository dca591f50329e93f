package tidebank.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tidebank.config.Json;
import tidebank.config.Malformed;
import tidebank.config.NodeConfig;
import tidebank.model.Event.Listed;
import tidebank.model.Event.ServerStatus;
import tidebank.runtime.Clock;
import tidebank.runtime.ShardPort.Member;

/** Reads discovery's lists; a list with any fault is no list. */
public final class ListReader {
  /** A list or what changed in it, and its version. */
  public record Members(long version, boolean whole, List<Member> members) {}

  private ListReader() {}

  public static Members read(JsonNode list) throws Malformed {
    JsonNode whole = Json.need(list, "whole");
    JsonNode hosts = Json.need(list, "hosts");
    if (!whole.isBoolean() || !hosts.isArray()) {
      throw new Malformed("field 'whole' is no flag or 'hosts' no list");
    }
    List<Member> members = new ArrayList<>();
    Set<String> named = new HashSet<>();
    for (JsonNode host : hosts) {
      Member member = member(host);
      if (!named.add(member.line().server())) {
        throw new Malformed("host '" + member.line().server() + "' stands twice in a list");
      }
      members.add(member);
    }
    return new Members(Json.whole(list, "seq"), whole.booleanValue(), members);
  }

  private static Member member(JsonNode host) throws Malformed {
    String id = Json.text(host, "host");
    ServerStatus status =
        switch (Json.text(host, "health")) {
          case "Ready" -> ServerStatus.IN_SERVICE;
          case "Terminating" -> ServerStatus.DRAINING;
          case "Gone" -> ServerStatus.GONE;
          default -> throw new Malformed("host '" + id + "' has an unknown health");
        };
    Listed line =
        new Listed(
            id,
            (int) Json.whole(host, "block"),
            status,
            Clock.ofUnixMillis(Math.max(0, Math.round(Json.number(host, "born_ms", 0)))),
            Json.number(host, "share", 1));
    return new Member(
        line, NodeConfig.address("dial of host '" + id + "'", Json.text(host, "dial")));
  }
}
