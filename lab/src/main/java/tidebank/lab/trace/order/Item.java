package tidebank.lab.trace.order;

import java.util.Comparator;
import tidebank.lab.trace.TraceRow;

/** A row on its way into order, with the hash of what event it is (0: its layout has no identities). */
public record Item(TraceRow row, long event) {
  public static final Comparator<Item> ORDER = Comparator.comparing(Item::row, TraceRow.ORDER)
      .thenComparingLong(Item::event);
}
