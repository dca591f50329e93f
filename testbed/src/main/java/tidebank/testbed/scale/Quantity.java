package tidebank.testbed.scale;

import java.util.Arrays;

/**
 * What is measured. Those of {@link Role#GATHERER} are a gatherer's share, those of {@link
 * Role#DISCOVERY} the sum over the fleet. Bytes are those of the TCP stream, messages are HTTP
 * requests and responses.
 */
public enum Quantity {
  GATHERER_FIRST_LIST_BYTES(
      Role.GATHERER, "first-list-bytes", "first whole list, on the wire", "bytes", Driver.SERVERS),
  GATHERER_FIRST_LIST_MESSAGES(
      Role.GATHERER, "first-list-messages", "first whole list", "messages", Driver.SERVERS),
  GATHERER_FIRST_LIST_CPU(
      Role.GATHERER,
      "first-list-cpu",
      "first whole list, event loop's processor time",
      "us",
      Driver.SERVERS),
  GATHERER_CHANGE_BYTES(
      Role.GATHERER, "change-bytes", "a change of the list, on the wire", "bytes", Driver.SERVERS),
  GATHERER_CHANGE_MESSAGES(
      Role.GATHERER, "change-messages", "a change of the list", "messages", Driver.SERVERS),
  GATHERER_CHANGE_CPU(
      Role.GATHERER,
      "change-cpu",
      "a change of the list, event loop's processor time",
      "us",
      Driver.SERVERS),
  GATHERER_IDLE_BYTES(
      Role.GATHERER, "idle-bytes", "idle watch, on the wire", "bytes/s", Driver.SERVERS),
  GATHERER_IDLE_MESSAGES(
      Role.GATHERER, "idle-messages", "idle watch", "messages/s", Driver.SERVERS),
  GATHERER_RETAINED_HEAP(
      Role.GATHERER, "retained-heap", "heap after a full collection", "bytes", Driver.SERVERS),
  GATHERER_DESCRIPTORS(
      Role.GATHERER,
      "descriptors",
      "descriptors, towards discovery only",
      "descriptors",
      Driver.SERVERS),
  DISCOVERY_FIRST_LIST_BYTES(
      Role.DISCOVERY,
      "first-list-bytes",
      "first whole lists of all gatherers, on the wire",
      "bytes",
      Driver.LIST_ENTRIES),
  DISCOVERY_FIRST_LIST_MESSAGES(
      Role.DISCOVERY,
      "first-list-messages",
      "first whole lists of all gatherers",
      "messages",
      Driver.GATHERERS),
  DISCOVERY_FIRST_LIST_CPU(
      Role.DISCOVERY,
      "first-list-cpu",
      "first whole lists of all gatherers, event loop's processor time",
      "us",
      Driver.LIST_ENTRIES),
  DISCOVERY_CHANGE_BYTES(
      Role.DISCOVERY,
      "change-bytes",
      "a change told to all gatherers, on the wire",
      "bytes",
      Driver.GATHERERS),
  DISCOVERY_CHANGE_MESSAGES(
      Role.DISCOVERY,
      "change-messages",
      "a change told to all gatherers",
      "messages",
      Driver.GATHERERS),
  DISCOVERY_CHANGE_CPU(
      Role.DISCOVERY,
      "change-cpu",
      "a change told to all gatherers, event loop's processor time",
      "us",
      Driver.GATHERERS),
  DISCOVERY_IDLE_BYTES(
      Role.DISCOVERY,
      "idle-bytes",
      "idle watches of all gatherers, on the wire",
      "bytes/s",
      Driver.GATHERERS),
  DISCOVERY_IDLE_MESSAGES(
      Role.DISCOVERY,
      "idle-messages",
      "idle watches of all gatherers",
      "messages/s",
      Driver.GATHERERS),
  DISCOVERY_DESCRIPTORS(
      Role.DISCOVERY,
      "descriptors",
      "descriptors: connections, and the stand-in's listener for each gatherer",
      "descriptors",
      Driver.GATHERERS);

  private final Role role;
  private final String key;
  private final String label;
  private final String unit;
  private final Driver driver;

  Quantity(Role role, String key, String label, String unit, Driver driver) {
    this.role = role;
    this.key = key;
    this.label = label;
    this.unit = unit;
    this.driver = driver;
  }

  public Role role() {
    return role;
  }

  /** Its name in files, unique within its role. */
  public String key() {
    return key;
  }

  /** Its name in tables. */
  public String label() {
    return label;
  }

  public String unit() {
    return unit;
  }

  /** What it is taken to grow with, and extrapolated by. */
  public Driver driver() {
    return driver;
  }

  /**
   * The quantity of this role and key.
   *
   * @throws IllegalArgumentException if there is none
   */
  static Quantity of(String role, String key) {
    return Arrays.stream(values())
        .filter(each -> each.role.name().equals(role) && each.key.equals(key))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no quantity " + key + " of role " + role));
  }
}
