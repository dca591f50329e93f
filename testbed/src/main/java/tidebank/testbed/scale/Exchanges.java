package tidebank.testbed.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * All calls to discovery and what each gatherer is known to have; written by one thread, read by
 * another.
 */
final class Exchanges {
  /** Far beyond what any step takes: who waits so long waits for nothing. */
  private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final long[] acknowledged;
  private List<Exchange> exchanges = new ArrayList<>();
  private int connections;

  Exchanges(int gatherers) {
    acknowledged = new long[gatherers];
  }

  synchronized void connected() {
    connections++;
  }

  /** Connections accepted so far. */
  synchronized int connections() {
    return connections;
  }

  /** A gatherer asked for what comes after a version, so it has that. */
  synchronized void acknowledged(int gatherer, long version) {
    acknowledged[gatherer] = version;
    notifyAll();
  }

  synchronized void add(Exchange exchange) {
    exchanges.add(exchange);
    notifyAll();
  }

  /** Takes all that were added since the last time. */
  synchronized List<Exchange> take() {
    List<Exchange> taken = exchanges;
    exchanges = new ArrayList<>();
    return taken;
  }

  /** Waits until each gatherer has a version. */
  void awaitAcknowledged(long version) throws IOException {
    await(() -> allHave(version), "not every gatherer has version " + version + " of the list");
  }

  private boolean allHave(long version) {
    for (long has : acknowledged) {
      if (has < version) {
        return false;
      }
    }
    return true;
  }

  /** Waits until a call of each gatherer was answered in this way. */
  void awaitAnswered(ExchangeKind kind) throws IOException {
    await(() -> answered(kind) == acknowledged.length, "not every gatherer was told " + kind);
  }

  private long answered(ExchangeKind kind) {
    return exchanges.stream()
        .filter(each -> each.kind() == kind)
        .mapToInt(Exchange::gatherer)
        .distinct()
        .count();
  }

  private synchronized void await(BooleanSupplier holds, String otherwise) throws IOException {
    long until = System.nanoTime() + PATIENCE_NANOS;
    while (!holds.getAsBoolean()) {
      long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
      if (left <= 0) {
        throw new IOException(otherwise);
      }
      try {
        wait(left);
      } catch (InterruptedException fault) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted");
      }
    }
  }
}
