package tidebank.testbed.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.HdrHistogram.ConcurrentHistogram;
import tidebank.coordinator.CoordinatorClient;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;

/**
 * What stewards bear: agents that each join, and then renew as fast as they are answered, one call
 * at a time. Each steward is a process; the agents are this one.
 */
public final class CoordinatorLoad {
  private static final Duration ONE = Duration.ofSeconds(10);
  private static final long PATIENCE_MS = 30_000;

  /**
   * What came of it.
   *
   * @param asked commands answered
   * @param failed calls that came to nothing, each made again
   * @param perS commands a second
   * @param p50Us median time of an answer, p99Us its 99th percentile, in microseconds
   * @param leaderKb resident memory of the leading steward, mostKb of the largest, in KB
   * @param diskBytes of all that the leading steward keeps
   */
  public record Result(
      int stewards,
      int agents,
      long asked,
      long failed,
      double perS,
      long p50Us,
      long p99Us,
      long leaderKb,
      long mostKb,
      long diskBytes) {}

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(ONE).build();
  private final ConcurrentHistogram took = new ConcurrentHistogram(60_000_000, 3);
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong failed = new AtomicLong();
  private volatile URI leader;
  private volatile boolean over;

  private CoordinatorLoad() {}

  /**
   * Runs it on a fleet of its own.
   *
   * @param most commands after which it ends, or seconds, whichever is first
   */
  public static Result run(Path folder, int stewards, int agents, long most, long seconds)
      throws IOException {
    try (CoordinatorProcesses fleet =
        new CoordinatorProcesses(
            folder,
            stewards,
            "[duties]\nnames = [\"report\"]\n[lease]\nms = 30000\n[limits]\nmembers = 5000\n")) {
      return new CoordinatorLoad().on(fleet, agents, most, seconds);
    }
  }

  private Result on(CoordinatorProcesses fleet, int agents, long most, long seconds)
      throws IOException {
    new CoordinatorClient(fleet.addresses(), PATIENCE_MS).state();
    find(fleet);
    List<CompletableFuture<Void>> ends = new ArrayList<>();
    long began = System.nanoTime();
    for (int i = 0; i < agents; i++) {
      CompletableFuture<Void> end = new CompletableFuture<>();
      ends.add(end);
      ask("a" + i, 1, end);
    }
    long until = began + TimeUnit.SECONDS.toNanos(seconds);
    while (System.nanoTime() < until && answered.get() < most) {
      try {
        Thread.sleep(10);
      } catch (InterruptedException fault) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted");
      }
    }
    long asked = answered.get();
    double perS = asked * 1e9 / (System.nanoTime() - began);
    over = true;
    CompletableFuture.allOf(ends.toArray(CompletableFuture[]::new))
        .orTimeout(ONE.toSeconds(), TimeUnit.SECONDS)
        .exceptionally(late -> null)
        .join();
    int leading = fleet.addresses().indexOf(leader.getAuthority());
    long largest = 0;
    for (int i = 0; i < fleet.count(); i++) {
      largest = Math.max(largest, resident(fleet.process(i).pid()));
    }
    return new Result(
        fleet.count(),
        agents,
        asked,
        failed.get(),
        perS,
        took.getValueAtPercentile(50),
        took.getValueAtPercentile(99),
        resident(fleet.process(leading).pid()),
        largest,
        size(fleet.disk(leading)));
  }

  /** Who leads, as the stewards say. */
  private void find(CoordinatorProcesses fleet) throws IOException {
    for (String address : fleet.addresses()) {
      try {
        HttpResponse<byte[]> response =
            http.send(
                HttpRequest.newBuilder(URI.create("http://" + address + "/fleet/state"))
                    .timeout(ONE)
                    .build(),
                BodyHandlers.ofByteArray());
        if (response.statusCode() == 200) {
          leader = URI.create("http://" + address + "/fleet/command");
          return;
        }
      } catch (InterruptedException fault) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted");
      }
    }
    throw new IOException("no steward leads");
  }

  private void ask(String name, long number, CompletableFuture<Void> end) {
    if (over) {
      end.complete(null);
      return;
    }
    LeaseCommand command =
        LeaseCommand.of(
            number == 1 ? LeaseCommand.Kind.JOIN : LeaseCommand.Kind.RENEW, name, number, name);
    long before = System.nanoTime();
    http.sendAsync(
            HttpRequest.newBuilder(leader)
                .timeout(ONE)
                .POST(BodyPublishers.ofByteArray(LeaseCodec.write(command)))
                .build(),
            BodyHandlers.ofByteArray())
        .whenComplete(
            (response, fault) -> {
              boolean good = fault == null && response.statusCode() == 200 && done(response.body());
              if (good) {
                took.recordValue(Math.min(60_000_000, (System.nanoTime() - before) / 1000));
                answered.incrementAndGet();
              } else {
                failed.incrementAndGet();
              }
              ask(name, good ? number + 1 : number, end);
            });
  }

  private static boolean done(byte[] body) {
    try {
      return LeaseCodec.read(body, CommandResult.class).error() == null;
    } catch (IOException fault) {
      return false;
    }
  }

  /** Resident memory of a process in KB, by the system's tables (Linux). */
  private static long resident(long pid) throws IOException {
    return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
        .filter(line -> line.startsWith("VmRSS"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
        .findFirst()
        .orElse(0);
  }

  private static long size(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      return files.mapToLong(file -> file.toFile().isFile() ? file.toFile().length() : 0).sum();
    }
  }
}
