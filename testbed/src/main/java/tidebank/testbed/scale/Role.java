package tidebank.testbed.scale;

import java.util.Arrays;
import java.util.List;

/** A part of the fleet that the capacity page treats separately. */
public enum Role {
  GATHERER("gatherer: decisions and discovery client", true),
  DISCOVERY("discovery, as the stand-in shows it", true),
  FRONT("the gatherer's front", false),
  SHARD_CONNECTIONS("the gatherer's shard connections", false),
  AGENT("the gatherer's agent for duties", false),
  STEWARD_LEADER("steward that leads", false),
  STEWARD_FOLLOWER("steward that follows", false),
  SHARD_SERVER("shard server's side of connections and probes", false),
  OPERATOR_COMMANDS("operator's commands", false);

  private final String label;
  private final boolean measured;

  Role(String label, boolean measured) {
    this.label = label;
    this.measured = measured;
  }

  /** Returns the name that tables show. */
  public String label() {
    return label;
  }

  /** Returns the roles that scale runs do not measure. */
  public static List<Role> notMeasured() {
    return Arrays.stream(values()).filter(role -> !role.measured).toList();
  }
}
