package tidebank.testbed.trace.order;

import java.util.Comparator;
import tidebank.testbed.trace.TraceRow;

/**
 * A row on its way into order, with the hash of what event it is (0: its layout has no identities).
 */
public record Item(TraceRow row, long event) {
  public static final Comparator<Item> ORDER =
      (a, b) -> {
        int order = TraceRow.ORDER.compare(a.row, b.row);
        return order != 0 ? order : Long.compare(a.event, b.event);
      };
}
