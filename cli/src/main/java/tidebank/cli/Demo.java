package tidebank.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tidebank.testbed.deployment.Deployment;
import tidebank.testbed.replay.Incident;
import tidebank.testbed.replay.Incident.Kind;
import tidebank.testbed.replay.Replay;
import tidebank.testbed.trace.TraceRow;

/** The whole product on one machine in a few seconds, without any configuration. */
@Command(
    name = "demo",
    description =
        "Starts discovery, shard servers and two gatherers on loopback, sends scans through them"
            + " while a server drains and another dies and comes back cold, and tells what"
            + " happened. Needs no configuration.",
    mixinStandardHelpOptions = true)
final class Demo implements Callable<Integer> {
  private static final long SECOND_US = 1_000_000;
  private static final int SECONDS = 5;
  private static final int PER_S = 80;

  @Spec CommandSpec spec;

  @Option(names = "--json", description = "the result as JSON")
  boolean json;

  @Option(
      names = "--seed",
      description = "of all chance (default: ${DEFAULT-VALUE})",
      defaultValue = "1")
  long seed;

  @Option(
      names = "--runs",
      description = "where results are kept (default: ${DEFAULT-VALUE})",
      defaultValue = "runs",
      paramLabel = "FOLDER")
  Path runs;

  @Override
  public Integer call() throws Exception {
    PrintWriter out = spec.commandLine().getOut();
    List<Incident> incidents =
        List.of(
            new Incident(1 * SECOND_US, Kind.SERVER_DRAINS, 3),
            new Incident(3 * SECOND_US / 2, Kind.ROSTER_GONE, 3),
            new Incident(2 * SECOND_US, Kind.SERVER_DIES, 5),
            new Incident(3 * SECOND_US, Kind.ROSTER_GONE, 5),
            new Incident(4 * SECOND_US, Kind.SERVER_BACK, 5));
    if (!json) {
      out.println(
          "two gatherers, eight shard servers and discovery on loopback; "
              + SECONDS
              + " s at "
              + PER_S
              + " scans a second.");
      out.println(
          "second 1: server 3 drains and goes; second 2: server 5 dies, and is back cold in second"
              + " 4.");
      out.flush();
    }
    List<TraceRow> rows = rows(seed, SECONDS);
    return Playing.play(
        new Replay.Plan(Deployment.standard(), 2, 8, seed, incidents),
        rows.iterator(),
        rows.size(),
        "demo",
        runs,
        json,
        false,
        out);
  }

  static List<TraceRow> rows(long seed, int seconds) {
    SplittableRandom chance = new SplittableRandom(seed);
    List<TraceRow> rows = new ArrayList<>();
    double at = 0;
    while ((at += -Math.log(1 - chance.nextDouble()) / PER_S) < seconds) {
      double kind = chance.nextDouble();
      String type =
          kind < 0.4 ? "network-trace" : kind < 0.8 ? "depot-manifest" : "delivery-confirm";
      int parts = type.equals("network-trace") ? 12 : type.equals("depot-manifest") ? 3 : 1;
      String[] accounts = {"port", "rail", "road"};
      rows.add(
          new TraceRow(
              (long) (at * SECOND_US),
              type,
              chance.nextInt(24),
              parts,
              "pallet-" + chance.nextInt(500),
              parts == 1 ? 1 : 0.3,
              5_000 + chance.nextInt(20_000),
              accounts[chance.nextInt(accounts.length)]));
    }
    return rows;
  }
}
