package tidebank.testbed.scale;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Puts what was observed into quantities: a gatherer's share, and the sum that discovery bears. */
final class Quantities {
  private static final double MS_PER_S = 1000;

  private Quantities() {}

  static Map<Quantity, Double> of(Observed observed) {
    Map<Quantity, Double> values = new EnumMap<>(Quantity.class);
    firstLists(observed, values);
    changes(observed, values);
    idle(observed, values);
    state(observed, values);
    return values;
  }

  private static void firstLists(Observed observed, Map<Quantity, Double> values) {
    double gatherers = observed.size().gatherers();
    double bytes = bytes(observed.firstLists());
    double messages = messages(observed.firstLists());
    values.put(Quantity.GATHERER_FIRST_LIST_BYTES, bytes / gatherers);
    values.put(Quantity.DISCOVERY_FIRST_LIST_BYTES, bytes);
    values.put(Quantity.GATHERER_FIRST_LIST_MESSAGES, messages / gatherers);
    values.put(Quantity.DISCOVERY_FIRST_LIST_MESSAGES, messages);
    values.put(Quantity.GATHERER_FIRST_LIST_CPU, observed.firstListCpu().gatherersUs() / gatherers);
    values.put(Quantity.DISCOVERY_FIRST_LIST_CPU, observed.firstListCpu().discoveryUs());
  }

  private static void changes(Observed observed, Map<Quantity, Double> values) {
    double gatherers = observed.size().gatherers();
    double changes = observed.listChanges();
    double bytes = bytes(observed.changes()) / changes;
    double messages = messages(observed.changes()) / changes;
    values.put(Quantity.GATHERER_CHANGE_BYTES, bytes / gatherers);
    values.put(Quantity.DISCOVERY_CHANGE_BYTES, bytes);
    values.put(Quantity.GATHERER_CHANGE_MESSAGES, messages / gatherers);
    values.put(Quantity.DISCOVERY_CHANGE_MESSAGES, messages);
    values.put(
        Quantity.GATHERER_CHANGE_CPU, observed.changesCpu().gatherersUs() / changes / gatherers);
    values.put(Quantity.DISCOVERY_CHANGE_CPU, observed.changesCpu().discoveryUs() / changes);
  }

  /** A call that waits for so long and tells nothing, again and again. */
  private static void idle(Observed observed, Map<Quantity, Double> values) {
    double gatherers = observed.size().gatherers();
    double bytesPerS = 0;
    double messagesPerS = 0;
    for (Exchange exchange : observed.idle()) {
      double callsPerS = MS_PER_S / exchange.waitMs();
      bytesPerS += exchange.bytes() * callsPerS;
      messagesPerS += Exchange.MESSAGES * callsPerS;
    }
    double calls = observed.idle().size();
    values.put(Quantity.GATHERER_IDLE_BYTES, bytesPerS / calls);
    values.put(Quantity.DISCOVERY_IDLE_BYTES, bytesPerS / calls * gatherers);
    values.put(Quantity.GATHERER_IDLE_MESSAGES, messagesPerS / calls);
    values.put(Quantity.DISCOVERY_IDLE_MESSAGES, messagesPerS / calls * gatherers);
  }

  private static void state(Observed observed, Map<Quantity, Double> values) {
    double gatherers = observed.size().gatherers();
    values.put(Quantity.GATHERER_RETAINED_HEAP, observed.heapBytes() / gatherers);
    values.put(Quantity.GATHERER_DESCRIPTORS, observed.descriptors().gatherers() / gatherers);
    values.put(Quantity.DISCOVERY_DESCRIPTORS, (double) observed.descriptors().discovery());
  }

  private static double bytes(List<Exchange> exchanges) {
    return exchanges.stream().mapToLong(Exchange::bytes).sum();
  }

  private static double messages(List<Exchange> exchanges) {
    return (double) exchanges.size() * Exchange.MESSAGES;
  }
}
