package tidebank.testbed.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The exchanges with discovery, and the list version that each router has. Thread-safe: one thread
 * writes and another reads.
 */
final class Exchanges {
  /** Far longer than any step takes; after this time the step is taken to have failed. */
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final long[] acknowledged;
  private List<Exchange> exchanges = new ArrayList<>();
  private int connections;

  Exchanges(int routers) {
    acknowledged = new long[routers];
  }

  synchronized void connected() {
    connections++;
  }

  /** Returns the number of connections accepted so far. */
  synchronized int connections() {
    return connections;
  }

  /** Records that a router requested the changes after a version, and so has this version. */
  synchronized void acknowledged(int router, long version) {
    acknowledged[router] = version;
    notifyAll();
  }

  synchronized void add(Exchange exchange) {
    exchanges.add(exchange);
    notifyAll();
  }

  /** Removes and returns the exchanges added since the previous call. */
  synchronized List<Exchange> take() {
    List<Exchange> taken = exchanges;
    exchanges = new ArrayList<>();
    return taken;
  }

  /**
   * Waits until each router has a version of the endpoint list.
   *
   * @throws IOException on timeout or interruption
   */
  void awaitAcknowledged(long version) throws IOException {
    await(
        () -> allRoutersHave(version),
        "timeout: not every router has version " + version + " of the endpoint list");
  }

  private boolean allRoutersHave(long version) {
    for (long acknowledgedVersion : acknowledged) {
      if (acknowledgedVersion < version) {
        return false;
      }
    }
    return true;
  }

  /**
   * Waits until each router was sent a response of this kind.
   *
   * @throws IOException on timeout or interruption
   */
  void awaitAnswered(ExchangeKind kind) throws IOException {
    await(
        () -> routersSent(kind) == acknowledged.length,
        "timeout: not every router was sent a response of kind " + kind);
  }

  private long routersSent(ExchangeKind kind) {
    return exchanges.stream()
        .filter(exchange -> exchange.kind() == kind)
        .mapToInt(Exchange::gatherer)
        .distinct()
        .count();
  }

  private synchronized void await(BooleanSupplier condition, String failure) throws IOException {
    long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
      if (remainingMs <= 0) {
        throw new IOException(failure);
      }
      try {
        wait(remainingMs);
      } catch (InterruptedException fault) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted while waiting for routers");
      }
    }
  }
}
