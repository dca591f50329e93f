package tidebank.testbed.scale;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Computes the quantities of a measurement: averages per router, and totals of discovery. */
final class Quantities {
  private static final double MS_PER_S = 1000;

  private Quantities() {}

  /** Returns a value for each quantity, in the quantity's unit. */
  static Map<Quantity, Double> of(RawMeasurement measurement) {
    Map<Quantity, Double> values = new EnumMap<>(Quantity.class);
    addFirstLists(measurement, values);
    addChanges(measurement, values);
    addIdleWatches(measurement, values);
    addHeapAndDescriptors(measurement, values);
    return values;
  }

  private static void addFirstLists(RawMeasurement measurement, Map<Quantity, Double> values) {
    double routers = measurement.size().gatherers();
    double bytes = totalBytes(measurement.firstLists());
    double messages = totalMessages(measurement.firstLists());
    values.put(Quantity.GATHERER_FIRST_LIST_BYTES, bytes / routers);
    values.put(Quantity.DISCOVERY_FIRST_LIST_BYTES, bytes);
    values.put(Quantity.GATHERER_FIRST_LIST_MESSAGES, messages / routers);
    values.put(Quantity.DISCOVERY_FIRST_LIST_MESSAGES, messages);
    values.put(Quantity.GATHERER_FIRST_LIST_CPU, measurement.firstListCpu().routersUs() / routers);
    values.put(Quantity.DISCOVERY_FIRST_LIST_CPU, measurement.firstListCpu().discoveryUs());
  }

  private static void addChanges(RawMeasurement measurement, Map<Quantity, Double> values) {
    double routers = measurement.size().gatherers();
    double changes = measurement.listChanges();
    double bytes = totalBytes(measurement.changes()) / changes;
    double messages = totalMessages(measurement.changes()) / changes;
    values.put(Quantity.GATHERER_CHANGE_BYTES, bytes / routers);
    values.put(Quantity.DISCOVERY_CHANGE_BYTES, bytes);
    values.put(Quantity.GATHERER_CHANGE_MESSAGES, messages / routers);
    values.put(Quantity.DISCOVERY_CHANGE_MESSAGES, messages);
    values.put(
        Quantity.GATHERER_CHANGE_CPU, measurement.changesCpu().routersUs() / changes / routers);
    values.put(Quantity.DISCOVERY_CHANGE_CPU, measurement.changesCpu().discoveryUs() / changes);
  }

  /** Computes the rates of watches that are repeated and always reach their wait limit. */
  private static void addIdleWatches(RawMeasurement measurement, Map<Quantity, Double> values) {
    double routers = measurement.size().gatherers();
    double bytesPerS = 0;
    double messagesPerS = 0;
    for (Exchange exchange : measurement.idle()) {
      double watchesPerS = MS_PER_S / exchange.waitMs();
      bytesPerS += exchange.bytes() * watchesPerS;
      messagesPerS += Exchange.MESSAGES_PER_EXCHANGE * watchesPerS;
    }
    double watches = measurement.idle().size();
    values.put(Quantity.GATHERER_IDLE_BYTES, bytesPerS / watches);
    values.put(Quantity.DISCOVERY_IDLE_BYTES, bytesPerS / watches * routers);
    values.put(Quantity.GATHERER_IDLE_MESSAGES, messagesPerS / watches);
    values.put(Quantity.DISCOVERY_IDLE_MESSAGES, messagesPerS / watches * routers);
  }

  private static void addHeapAndDescriptors(
      RawMeasurement measurement, Map<Quantity, Double> values) {
    double routers = measurement.size().gatherers();
    values.put(Quantity.GATHERER_RETAINED_HEAP, measurement.heapBytes() / routers);
    values.put(Quantity.GATHERER_DESCRIPTORS, measurement.descriptors().routers() / routers);
    values.put(Quantity.DISCOVERY_DESCRIPTORS, (double) measurement.descriptors().discovery());
  }

  private static double totalBytes(List<Exchange> exchanges) {
    return exchanges.stream().mapToLong(Exchange::bytes).sum();
  }

  private static double totalMessages(List<Exchange> exchanges) {
    return (double) exchanges.size() * Exchange.MESSAGES_PER_EXCHANGE;
  }
}
