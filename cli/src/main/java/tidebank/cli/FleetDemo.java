package tidebank.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Predicate;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import tidebank.coordinator.CoordinatorClient;
import tidebank.lease.TaskLease;
import tidebank.testbed.fleet.CoordinatorProcesses;
import tidebank.testbed.fleet.RouterProcesses;
import tidebank.testbed.replay.RouterProcess;

/** An owner stopped and woken again, before one's eyes. */
@Command(
    name = "demo",
    description =
        "Starts three stewards and three gatherers on loopback, stops the owner of the fleet's"
            + " report past its lease, lets another take over, and wakes the first. Needs no"
            + " configuration; takes some ten seconds.",
    mixinStandardHelpOptions = true)
final class FleetDemo implements Callable<Integer> {
  private static final long EVERY_MS = 400;
  private static final long PATIENCE_MS = 20_000;
  private static final String SETTINGS =
      "[duties]\nnames = [\"report\"]\n[lease]\nms = 1500\n[election]\nms = 200\n";

  @Spec private CommandSpec spec;
  private long began;

  private void say(String text) {
    PrintWriter out = spec.commandLine().getOut();
    out.printf("%5.1f s  %s%n", (System.nanoTime() - began) / 1e9, text);
    out.flush();
  }

  @Override
  public Integer call() throws IOException {
    began = System.nanoTime();
    Path folder = Files.createTempDirectory("tidebank-fleet");
    List<RouterProcess> gatherers = new ArrayList<>();
    try (CoordinatorProcesses stewards = new CoordinatorProcesses(folder, 3, SETTINGS)) {
      CoordinatorClient client = new CoordinatorClient(stewards.addresses(), PATIENCE_MS);
      for (int i = 0; i < 3; i++) {
        gatherers.add(
            RouterProcesses.start(folder, "g" + i, stewards.addresses(), EVERY_MS, List.of()));
      }
      say("three stewards and three gatherers started; their files are in " + folder);
      TaskLease first = until(client, duty -> duty.revision() >= 2);
      say(
          first.holder()
              + " owns the report by token "
              + first.fencingToken()
              + " and has published "
              + first.value());
      RouterProcess owner = gatherers.get(Integer.parseInt(first.holder().substring(1)));
      owner.suspend();
      say(owner.name() + " is stopped (SIGSTOP): it neither renews nor knows that it does not");
      TaskLease second = until(client, duty -> duty.publishingToken() > first.fencingToken());
      say(
          "its lease has ended; "
              + second.holder()
              + " owns the report by token "
              + second.fencingToken()
              + " and has published "
              + second.value());
      owner.resume();
      say(owner.name() + " is woken and goes on where it stood");
      TaskLease third = until(client, duty -> duty.revision() >= second.revision() + 3);
      boolean harm = third.publishingToken() < second.fencingToken();
      say(
          "three reports later: "
              + third.value()
              + "; "
              + (harm
                  ? "an old token was believed"
                  : "nothing by token " + first.fencingToken() + " was believed since"));
      return harm ? Tidebank.FAILED : Tidebank.DONE;
    } finally {
      gatherers.forEach(RouterProcess::close);
    }
  }

  private static TaskLease until(CoordinatorClient client, Predicate<TaskLease> wanted)
      throws IOException {
    long end = System.nanoTime() + PATIENCE_MS * 1_000_000;
    while (System.nanoTime() < end) {
      for (TaskLease duty : client.state().tasks()) {
        if (wanted.test(duty)) {
          return duty;
        }
      }
      try {
        Thread.sleep(20);
      } catch (InterruptedException fault) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted");
      }
    }
    throw new IOException(
        "the duty did not come so far in " + PATIENCE_MS / 1000 + " s: " + client.state().tasks());
  }
}
