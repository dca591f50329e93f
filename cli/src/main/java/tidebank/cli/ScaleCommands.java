package tidebank.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tidebank.testbed.scale.CapacityPage;
import tidebank.testbed.scale.Fit;
import tidebank.testbed.scale.Point;
import tidebank.testbed.scale.PointsFile;
import tidebank.testbed.scale.Profile;
import tidebank.testbed.scale.ScaleResults;
import tidebank.testbed.scale.ScaleRun;
import tidebank.testbed.scale.Target;

/** How cost grows with the fleet: measured on a ladder of sizes, fitted, and put into a page. */
@Command(
    name = "scale",
    description =
        "Measures what hollow gatherers and discovery cost on a ladder of sizes, fits straight"
            + " lines, and writes the tables of the capacity page.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      ScaleCommands.Run.class,
      ScaleCommands.FitCommand.class,
      ScaleCommands.PageCommand.class
    })
final class ScaleCommands implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  @Command(
      name = "run",
      description =
          "Measures all sizes of a profile on loopback. What was measured is in the folder at any"
              + " time, also after Ctrl-C.",
      mixinStandardHelpOptions = true)
  static final class Run extends ResultCommand {

    @Parameters(paramLabel = "PROFILE", description = "such as deploy/scale/small.toml")
    private Path profile;

    @Option(
        names = "--out",
        paramLabel = "DIR",
        required = true,
        description = "folder of the results, in place of those that are there")
    private Path out;

    private int points;

    @Override
    public Integer call() throws IOException {
      Profile read = Profile.read(profile);
      PrintWriter progress = spec.commandLine().getErr();
      String name = profile.getFileName().toString();
      try (PointsFile file = new ScaleResults(out).create(ScaleRun.facts(name, read))) {
        ScaleRun.run(
            read,
            some -> add(file, some),
            line -> {
              progress.println(line);
              progress.flush();
            });
      }
      ObjectNode done = new ObjectMapper().createObjectNode();
      done.put("points", points).put("sizes", read.sizes().size()).put("folder", out.toString());
      spec.commandLine()
          .getOut()
          .println(json ? done : points + " points in " + out + "; next: scale fit " + out);
      return Tidebank.DONE;
    }

    private void add(PointsFile file, List<Point> some) throws IOException {
      file.add(some);
      points += some.size();
    }
  }

  @Command(
      name = "fit",
      description = "Fits a straight line to each quantity of a run and writes fits.json.",
      mixinStandardHelpOptions = true)
  static final class FitCommand extends ResultCommand {

    @Parameters(paramLabel = "DIR", description = "folder of a run's results")
    private Path folder;

    @Override
    public Integer call() throws IOException {
      List<Fit> fits = new ScaleResults(folder).fit();
      PrintWriter out = out();
      if (json) {
        out.println(new ObjectMapper().writeValueAsString(fits));
      } else {
        fits.forEach(fit -> out.println(line(fit)));
      }
      return Tidebank.DONE;
    }

    private static String line(Fit fit) {
      return String.format(
          Locale.ROOT,
          "%-9s %-19s %12.4g %s a %s (%.4g to %.4g) + %.4g, residual %.3g",
          fit.quantity().role().name().toLowerCase(Locale.ROOT),
          fit.quantity().key(),
          fit.slope(),
          fit.quantity().unit(),
          fit.driver().label(),
          fit.slopeLow(),
          fit.slopeHigh(),
          fit.constant(),
          fit.residual());
    }
  }

  @Command(
      name = "page",
      description =
          "Writes the tables of a run's results between the markers of the capacity page.",
      mixinStandardHelpOptions = true)
  static final class PageCommand extends ResultCommand {

    @Parameters(paramLabel = "DIR", description = "folder of a run's results, fitted")
    private Path folder;

    @Option(
        names = "--target",
        paramLabel = "FILE",
        defaultValue = "deploy/scale/target.toml",
        description = "the size to come and its budgets; default ${DEFAULT-VALUE}")
    private Path target;

    @Option(
        names = "--file",
        paramLabel = "PAGE",
        defaultValue = "docs/CAPACITY.md",
        description = "the page; default ${DEFAULT-VALUE}")
    private Path file;

    @Override
    public Integer call() throws IOException {
      ScaleResults results = new ScaleResults(folder);
      String before = Files.readString(file);
      String after =
          CapacityPage.render(before, results.run(), results.fits(), Target.read(target));
      boolean changed = !after.equals(before);
      if (changed) {
        Files.writeString(file, after);
      }
      ObjectNode done = new ObjectMapper().createObjectNode();
      done.put("page", file.toString()).put("changed", changed);
      spec.commandLine()
          .getOut()
          .println(json ? done : file + (changed ? ": written" : ": as it was"));
      return Tidebank.DONE;
    }
  }
}
