package tidebank.testbed.scale;

import java.util.Arrays;

/**
 * A measured quantity. Quantities of {@link Role#GATHERER} are averages per router, those of {@link
 * Role#DISCOVERY} totals over the fleet. Bytes are counted on the TCP connections, and messages are
 * HTTP requests and responses.
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

  /** Returns the name in result files, which is unique within the role. */
  public String key() {
    return key;
  }

  /** Returns the name that tables show. */
  public String label() {
    return label;
  }

  /** Returns the unit that result files and tables show. */
  public String unit() {
    return unit;
  }

  /** Returns the count that the quantity is assumed to grow with, used for extrapolation. */
  public Driver driver() {
    return driver;
  }

  /**
   * Returns the quantity with this role and key.
   *
   * @throws IllegalArgumentException if there is no such quantity
   */
  static Quantity of(String role, String key) {
    return Arrays.stream(values())
        .filter(quantity -> quantity.role.name().equals(role) && quantity.key.equals(key))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no quantity " + key + " of role " + role));
  }
}
