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
 * Load test that measures the command throughput of coordinators. Each agent joins and then sends
 * renewals as fast as they are answered, one request at a time. Each coordinator runs in its own
 * process; all agents run in this one.
 */
public final class CoordinatorLoad {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
  private static final long START_TIMEOUT_MS = 30_000;
  private static final long MAX_LATENCY_US = 60_000_000;
  private static final String SETTINGS =
      "[duties]\nnames = [\"report\"]\n[lease]\nms = 30000\n[limits]\nmembers = 5000\n";

  /**
   * The measurements of a run.
   *
   * @param coordinators number of coordinators
   * @param agents number of agents
   * @param commands number of commands executed successfully
   * @param retries number of failed requests, each of which was sent again
   * @param commandsPerSecond commands executed successfully per second
   * @param p50Us median latency of successful commands, in microseconds
   * @param p99Us 99th percentile of their latency, in microseconds
   * @param leaderMemoryKb resident memory of the leader, in KB
   * @param largestMemoryKb resident memory of the largest coordinator, in KB
   * @param diskBytes size of the leader's data directory, in bytes
   */
  public record Result(
      int coordinators,
      int agents,
      long commands,
      long retries,
      double commandsPerSecond,
      long p50Us,
      long p99Us,
      long leaderMemoryKb,
      long largestMemoryKb,
      long diskBytes) {}

  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(REQUEST_TIMEOUT)
          .build();
  private final ConcurrentHistogram latencyUs = new ConcurrentHistogram(MAX_LATENCY_US, 3);
  private final AtomicLong completed = new AtomicLong();
  private final AtomicLong retries = new AtomicLong();
  private volatile URI leader;
  private volatile boolean stopping;

  private CoordinatorLoad() {}

  /**
   * Starts coordinators, runs the load test on them and stops them.
   *
   * @param folder directory for the coordinators' files
   * @param maxCommands number of commands after which the run ends
   * @param maxSeconds duration after which the run ends at the latest, in seconds
   */
  public static Result run(
      Path folder, int coordinators, int agents, long maxCommands, long maxSeconds)
      throws IOException {
    try (CoordinatorProcesses processes =
        new CoordinatorProcesses(folder, coordinators, SETTINGS)) {
      return new CoordinatorLoad().measure(processes, agents, maxCommands, maxSeconds);
    }
  }

  private Result measure(
      CoordinatorProcesses coordinators, int agents, long maxCommands, long maxSeconds)
      throws IOException {
    new CoordinatorClient(coordinators.addresses(), START_TIMEOUT_MS).state();
    findLeader(coordinators);
    List<CompletableFuture<Void>> agentCompletions = new ArrayList<>();
    long startedAt = System.nanoTime();
    for (int i = 0; i < agents; i++) {
      CompletableFuture<Void> completion = new CompletableFuture<>();
      agentCompletions.add(completion);
      sendNext("a" + i, 1, completion);
    }
    awaitCommands(maxCommands, startedAt + TimeUnit.SECONDS.toNanos(maxSeconds));
    long commands = completed.get();
    double commandsPerSecond = commands * 1e9 / (System.nanoTime() - startedAt);
    stopping = true;
    CompletableFuture.allOf(agentCompletions.toArray(CompletableFuture[]::new))
        .orTimeout(REQUEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS)
        .exceptionally(timeout -> null)
        .join();
    int leaderIndex = coordinators.addresses().indexOf(leader.getAuthority());
    return new Result(
        coordinators.count(),
        agents,
        commands,
        retries.get(),
        commandsPerSecond,
        latencyUs.getValueAtPercentile(50),
        latencyUs.getValueAtPercentile(99),
        residentMemoryKb(coordinators.process(leaderIndex).pid()),
        largestResidentMemoryKb(coordinators),
        directoryBytes(coordinators.dataDirectory(leaderIndex)));
  }

  private void awaitCommands(long maxCommands, long deadline) throws IOException {
    while (System.nanoTime() < deadline && completed.get() < maxCommands) {
      try {
        Thread.sleep(10);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted");
      }
    }
  }

  private void findLeader(CoordinatorProcesses coordinators) throws IOException {
    for (String address : coordinators.addresses()) {
      try {
        HttpResponse<byte[]> response =
            http.send(
                HttpRequest.newBuilder(URI.create("http://" + address + "/fleet/state"))
                    .timeout(REQUEST_TIMEOUT)
                    .build(),
                BodyHandlers.ofByteArray());
        if (response.statusCode() == 200) {
          leader = URI.create("http://" + address + "/fleet/command");
          return;
        }
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted");
      }
    }
    throw new IOException("no leader among the coordinators " + coordinators.addresses());
  }

  private void sendNext(String agent, long sequence, CompletableFuture<Void> completion) {
    if (stopping) {
      completion.complete(null);
      return;
    }
    LeaseCommand.Kind kind = sequence == 1 ? LeaseCommand.Kind.JOIN : LeaseCommand.Kind.RENEW;
    byte[] body = LeaseCodec.write(LeaseCommand.of(kind, agent, sequence, agent));
    long sentAt = System.nanoTime();
    http.sendAsync(
            HttpRequest.newBuilder(leader)
                .timeout(REQUEST_TIMEOUT)
                .POST(BodyPublishers.ofByteArray(body))
                .build(),
            BodyHandlers.ofByteArray())
        .whenComplete(
            (response, failure) -> {
              boolean accepted =
                  failure == null && response.statusCode() == 200 && isAccepted(response.body());
              if (accepted) {
                latencyUs.recordValue(
                    Math.min(MAX_LATENCY_US, (System.nanoTime() - sentAt) / 1000));
                completed.incrementAndGet();
              } else {
                retries.incrementAndGet();
              }
              sendNext(agent, accepted ? sequence + 1 : sequence, completion);
            });
  }

  private static boolean isAccepted(byte[] body) {
    try {
      return LeaseCodec.read(body, CommandResult.class).error() == null;
    } catch (IOException exception) {
      return false;
    }
  }

  private static long largestResidentMemoryKb(CoordinatorProcesses coordinators)
      throws IOException {
    long largest = 0;
    for (int i = 0; i < coordinators.count(); i++) {
      largest = Math.max(largest, residentMemoryKb(coordinators.process(i).pid()));
    }
    return largest;
  }

  /** Returns the resident memory (VmRSS) of a process in KB, from /proc; Linux only. */
  private static long residentMemoryKb(long pid) throws IOException {
    return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
        .filter(line -> line.startsWith("VmRSS"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
        .findFirst()
        .orElse(0);
  }

  private static long directoryBytes(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      return files.mapToLong(file -> file.toFile().isFile() ? file.toFile().length() : 0).sum();
    }
  }
}
