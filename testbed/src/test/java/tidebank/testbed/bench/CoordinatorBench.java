package tidebank.testbed.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import tidebank.coordinator.CoordinatorClient;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.lease.LeaseTableState;
import tidebank.lease.TaskLease;
import tidebank.testbed.fleet.CoordinatorProcesses;
import tidebank.testbed.fleet.RouterProcesses;
import tidebank.testbed.replay.RouterProcess;

/**
 * A benchmark for the results page, run by hand. Measures the renewals per second of 100 members
 * with 1, 3 and 5 coordinators, and how long the fleet's report has no lease holder after the
 * holder was killed, suspended or terminated, with the default lease and three routers.
 */
public final class CoordinatorBench {
  private static final String SETTINGS = "[duties]\nnames = [\"report\"]\n";
  private static final int MEASUREMENT_S = 5;
  private static final int MEMBERS = 100;
  private static final int ROUNDS = 10;

  private CoordinatorBench() {}

  public static void main(String[] args) throws Exception {
    for (int coordinators : new int[] {1, 3, 5}) {
      measureRenewals(coordinators);
    }
    for (String signal : List.of("SIGKILL", "SIGSTOP", "SIGTERM")) {
      measureGaps(signal);
    }
  }

  private static void measureRenewals(int count) throws Exception {
    Path folder = Files.createTempDirectory("coordinators");
    try (CoordinatorProcesses coordinators = new CoordinatorProcesses(folder, count, SETTINGS)) {
      CoordinatorClient client = new CoordinatorClient(coordinators.addresses(), 20_000);
      client.state();
      AtomicBoolean running = new AtomicBoolean(true);
      ConcurrentLinkedQueue<Long> latenciesNs = new ConcurrentLinkedQueue<>();
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < MEMBERS; i++) {
        String name = "m" + i;
        threads.add(
            new Thread(
                () ->
                    renew(
                        new CoordinatorClient(coordinators.addresses(), 20_000),
                        name,
                        running,
                        latenciesNs)));
        threads.get(i).start();
      }
      Thread.sleep(2000);
      latenciesNs.clear();
      Thread.sleep(MEASUREMENT_S * 1000);
      long[] sorted = latenciesNs.stream().mapToLong(Long::longValue).sorted().toArray();
      running.set(false);
      for (Thread thread : threads) {
        thread.join();
      }
      System.out.printf(
          "%d coordinators, %d members: %d commands per second, median %.1f ms, 99%% %.1f ms%n",
          count,
          MEMBERS,
          sorted.length / MEASUREMENT_S,
          sorted[sorted.length / 2] / 1e6,
          sorted[sorted.length * 99 / 100] / 1e6);
    }
  }

  private static void renew(
      CoordinatorClient client,
      String name,
      AtomicBoolean running,
      ConcurrentLinkedQueue<Long> latenciesNs) {
    try {
      long sequence = 0;
      client.sendCommand(LeaseCommand.of(Kind.JOIN, name, ++sequence, name));
      while (running.get()) {
        long sentAt = System.nanoTime();
        client.sendCommand(LeaseCommand.of(Kind.RENEW, name, ++sequence, name));
        latenciesNs.add(System.nanoTime() - sentAt);
      }
    } catch (IOException exception) {
      System.out.println(exception.getMessage());
    }
  }

  private static void measureGaps(String signal) throws Exception {
    Path folder = Files.createTempDirectory("gaps");
    long[] gaps = new long[ROUNDS];
    try (CoordinatorProcesses coordinators = new CoordinatorProcesses(folder, 3, SETTINGS)) {
      CoordinatorClient client = new CoordinatorClient(coordinators.addresses(), 20_000);
      List<RouterProcess> routers = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        routers.add(
            RouterProcesses.start(folder, "g" + i, coordinators.addresses(), 60_000, List.of()));
      }
      for (int round = 0; round < ROUNDS; round++) {
        TaskLease lease = awaitHolder(client, 0);
        int holder = Integer.parseInt(lease.holder().substring(1, 2));
        Thread.sleep(500 + 137 * round);
        long lostAt = System.nanoTime();
        if (signal.equals("SIGKILL")) {
          routers.get(holder).kill();
        } else if (signal.equals("SIGSTOP")) {
          routers.get(holder).suspend();
        } else {
          routers.get(holder).terminate();
        }
        awaitHolder(client, lease.fencingToken());
        gaps[round] = System.nanoTime() - lostAt;
        if (signal.equals("SIGSTOP")) {
          routers.get(holder).resume();
        } else {
          routers.get(holder).waitFor(10_000);
          routers.get(holder).close();
          routers.set(
              holder,
              RouterProcesses.start(
                  folder, "g" + holder, coordinators.addresses(), 60_000, List.of()));
        }
      }
      routers.forEach(RouterProcess::close);
    }
    Arrays.sort(gaps);
    System.out.printf(
        "%s, lease 3000 ms, %d times: without a holder for %d ms in the median, %d ms at most%n",
        signal, ROUNDS, gaps[ROUNDS / 2] / 1_000_000, gaps[ROUNDS - 1] / 1_000_000);
  }

  /** Waits until the report has a lease holder with a higher fencing token. */
  private static TaskLease awaitHolder(CoordinatorClient client, long fencingToken)
      throws Exception {
    while (true) {
      LeaseTableState state = client.state();
      for (TaskLease lease : state.tasks()) {
        if (lease.fencingToken() > fencingToken
            && !lease.holder().isEmpty()
            && lease.expiresAt() > state.leaderClock()) {
          return lease;
        }
      }
      Thread.sleep(2);
    }
  }
}
