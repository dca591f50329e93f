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
 * Figures for the results page, by hand: renewals a second of 100 members against 1, 3 and 5
 * stewards, and how long the fleet's report has no owner after the owner is killed, stopped or
 * ended, with the default lease and three gatherers.
 */
public final class CoordinatorBench {
  private static final String SETTINGS = "[duties]\nnames = [\"report\"]\n";
  private static final int SECONDS = 5;
  private static final int MEMBERS = 100;
  private static final int LOSSES = 10;

  private CoordinatorBench() {}

  public static void main(String[] args) throws Exception {
    for (int stewards : new int[] {1, 3, 5}) {
      renewals(stewards);
    }
    for (String loss : List.of("SIGKILL", "SIGSTOP", "SIGTERM")) {
      gaps(loss);
    }
  }

  private static void renewals(int count) throws Exception {
    Path folder = Files.createTempDirectory("stewards");
    try (CoordinatorProcesses stewards = new CoordinatorProcesses(folder, count, SETTINGS)) {
      CoordinatorClient first = new CoordinatorClient(stewards.addresses(), 20_000);
      first.state();
      AtomicBoolean on = new AtomicBoolean(true);
      ConcurrentLinkedQueue<Long> took = new ConcurrentLinkedQueue<>();
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < MEMBERS; i++) {
        String name = "m" + i;
        threads.add(
            new Thread(
                () -> renew(new CoordinatorClient(stewards.addresses(), 20_000), name, on, took)));
        threads.get(i).start();
      }
      Thread.sleep(2000);
      took.clear();
      Thread.sleep(SECONDS * 1000);
      long[] all = took.stream().mapToLong(Long::longValue).sorted().toArray();
      on.set(false);
      for (Thread thread : threads) {
        thread.join();
      }
      System.out.printf(
          "%d stewards, %d members: %d commands a second, median %.1f ms, 99%% %.1f ms%n",
          count,
          MEMBERS,
          all.length / SECONDS,
          all[all.length / 2] / 1e6,
          all[all.length * 99 / 100] / 1e6);
    }
  }

  private static void renew(
      CoordinatorClient client, String name, AtomicBoolean on, ConcurrentLinkedQueue<Long> took) {
    try {
      long number = 0;
      client.command(LeaseCommand.of(Kind.JOIN, name, ++number, name));
      while (on.get()) {
        long from = System.nanoTime();
        client.command(LeaseCommand.of(Kind.RENEW, name, ++number, name));
        took.add(System.nanoTime() - from);
      }
    } catch (IOException fault) {
      System.out.println(fault.getMessage());
    }
  }

  private static void gaps(String loss) throws Exception {
    Path folder = Files.createTempDirectory("gaps");
    long[] gaps = new long[LOSSES];
    try (CoordinatorProcesses stewards = new CoordinatorProcesses(folder, 3, SETTINGS)) {
      CoordinatorClient client = new CoordinatorClient(stewards.addresses(), 20_000);
      List<RouterProcess> gatherers = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        gatherers.add(
            RouterProcesses.start(folder, "g" + i, stewards.addresses(), 60_000, List.of()));
      }
      for (int round = 0; round < LOSSES; round++) {
        TaskLease duty = owned(client, 0);
        int owner = Integer.parseInt(duty.holder().substring(1, 2));
        Thread.sleep(500 + 137 * round);
        long from = System.nanoTime();
        if (loss.equals("SIGKILL")) {
          gatherers.get(owner).kill();
        } else if (loss.equals("SIGSTOP")) {
          gatherers.get(owner).stop();
        } else {
          gatherers.get(owner).terminate();
        }
        owned(client, duty.fencingToken());
        gaps[round] = System.nanoTime() - from;
        if (loss.equals("SIGSTOP")) {
          gatherers.get(owner).wake();
        } else {
          gatherers.get(owner).waitFor(10_000);
          gatherers.get(owner).close();
          gatherers.set(
              owner,
              RouterProcesses.start(folder, "g" + owner, stewards.addresses(), 60_000, List.of()));
        }
      }
      gatherers.forEach(RouterProcess::close);
    }
    Arrays.sort(gaps);
    System.out.printf(
        "%s, lease 3000 ms, %d times: without an owner for %d ms in the median, %d at most%n",
        loss, LOSSES, gaps[LOSSES / 2] / 1_000_000, gaps[LOSSES - 1] / 1_000_000);
  }

  private static TaskLease owned(CoordinatorClient client, long after) throws Exception {
    while (true) {
      LeaseTableState state = client.state();
      for (TaskLease duty : state.tasks()) {
        if (duty.fencingToken() > after
            && !duty.holder().isEmpty()
            && duty.expiresAt() > state.leaderClock()) {
          return duty;
        }
      }
      Thread.sleep(2);
    }
  }
}
