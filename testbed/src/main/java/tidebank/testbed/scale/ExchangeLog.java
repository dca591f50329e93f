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
final class ExchangeLog {
  /** Far longer than any step takes; after this time the step is taken to have failed. */
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final long[] recordVersion;
  private List<Exchange> exchanges = new ArrayList<>();
  private int connections;

  ExchangeLog(int routers) {
    recordVersion = new long[routers];
  }

  synchronized void countConnection() {
    connections++;
  }

  /** Returns the number of connections accepted so far. */
  synchronized int connections() {
    return connections;
  }

  /** Records that a router requested the changes after a version, and so has this version. */
  synchronized void recordVersion(int router, long version) {
    recordVersion[router] = version;
    notifyAll();
  }

  synchronized void add(Exchange exchange) {
    exchanges.add(exchange);
    notifyAll();
  }

  /** Removes and returns the exchanges added since the previous call. */
  synchronized List<Exchange> takeAll() {
    List<Exchange> taken = exchanges;
    exchanges = new ArrayList<>();
    return taken;
  }

  /**
   * Waits until each router has a version of the endpoint list.
   *
   * @throws IOException on timeout or interruption
   */
  void awaitVersion(long version) throws IOException {
    await(
        () -> allRoutersHave(version),
        "timeout: not every router has version " + version + " of the endpoint list");
  }

  private boolean allRoutersHave(long version) {
    for (long acknowledgedVersion : recordVersion) {
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
  void awaitResponses(ExchangeKind kind) throws IOException {
    await(
        () -> routersSent(kind) == recordVersion.length,
        "timeout: not every router was sent a response of kind " + kind);
  }

  private long routersSent(ExchangeKind kind) {
    return exchanges.stream()
        .filter(exchange -> exchange.kind() == kind)
        .mapToInt(Exchange::router)
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
