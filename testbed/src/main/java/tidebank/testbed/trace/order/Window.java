package tidebank.testbed.trace.order;

import java.io.IOException;
import java.util.PriorityQueue;

/**
 * A bounded window over a stream that is nearly in order: rows leave it by time, the least first,
 * when it is full.
 */
public final class Window {
  /** Where rows go; it may fail as a file may. */
  public interface Sink {
    void take(Item item) throws IOException;
  }

  private final int most;
  private final Lateness lateness;
  private final Sink inOrder;
  private final Sink stragglers;
  private final PriorityQueue<Item> held = new PriorityQueue<>(Item.ORDER);
  private Item last;

  public Window(int most, Lateness lateness, Sink inOrder, Sink stragglers) {
    this.most = most;
    this.lateness = lateness;
    this.inOrder = inOrder;
    this.stragglers = stragglers;
  }

  /** Takes a row; says what became of it. A rejected one is the caller's to account for. */
  public Lateness.Way take(Item item) throws IOException {
    Lateness.Way way = lateness.of(item.row().timeUs());
    // At the instant of the last row let go, the order by content decides: else it would be the
    // source's.
    if (way == Lateness.Way.IN_TIME && last != null && Item.ORDER.compare(item, last) < 0) {
      way = Lateness.Way.SORTED_ON_DISK;
    }
    switch (way) {
      case IN_TIME -> {
        held.add(item);
        if (held.size() > most) {
          release();
        }
      }
      case SORTED_ON_DISK -> stragglers.take(item);
      default -> {}
    }
    return way;
  }

  private void release() throws IOException {
    Item least = held.poll();
    last = least;
    lateness.handsOn(least.row().timeUs());
    inOrder.take(least);
  }

  public void finish() throws IOException {
    while (!held.isEmpty()) {
      release();
    }
  }
}
