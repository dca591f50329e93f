package tidebank.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tidebank.testbed.chaos.RandomScript;
import tidebank.testbed.chaos.RunArtifacts;
import tidebank.testbed.chaos.Script;
import tidebank.testbed.chaos.ScriptRunner;
import tidebank.testbed.chaos.UnownedIntervals;
import tidebank.testbed.fleet.CoordinatorLoad;

/** The group of commands that run clusters of processes under injected faults. */
@Command(
    name = "chaos",
    description =
        "Injects faults into a cluster of processes and the links between them, by a script or one"
            + " drawn from a seed, and checks what was observed from outside.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      ChaosCommands.Run.class,
      ChaosCommands.ListAll.class,
      ChaosCommands.Show.class,
      ChaosCommands.Loaded.class
    })
final class ChaosCommands implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  @Command(
      name = "run",
      description = "Runs scripts, each on a cluster of its own on loopback. Linux only.",
      mixinStandardHelpOptions = true,
      exitCodeListHeading = "%nExit codes:%n",
      exitCodeList = {
        "0:all held",
        "1:something did not hold, or a run failed",
        "2:wrong arguments or script"
      })
  static final class Run implements Callable<Integer> {
    private static final Pattern RANGE = Pattern.compile("(\\d{1,15})\\.\\.(\\d{1,15})");
    private static final long MOST = 100_000;
    private static final DateTimeFormatter NAME =
        DateTimeFormatter.ofPattern("yyyyMMdd-HHmmss").withZone(ZoneOffset.UTC);

    @Spec private CommandSpec spec;

    @Parameters(
        paramLabel = "SCRIPT",
        arity = "0..*",
        description = "names that `chaos list` shows, or files")
    private List<String> scripts = List.of();

    @Option(names = "--seed", paramLabel = "N", description = "draws a script from this seed")
    private Long seed;

    @Option(
        names = "--seeds",
        paramLabel = "A..B",
        description = "the same for all seeds from A to B")
    private String seeds;

    @Option(
        names = "--out",
        paramLabel = "DIR",
        defaultValue = "runs/chaos",
        description = "where each run gets its folder; default ${DEFAULT-VALUE}")
    private Path out;

    @Option(names = "--keep", description = "keeps the folders of runs that held, too")
    private boolean keep;

    @Option(
        names = "--at-once",
        paramLabel = "N",
        defaultValue = "1",
        description = "how many runs at a time; default ${DEFAULT-VALUE}")
    private int atOnce;

    @Option(names = "--json", description = "prints a JSON object a run")
    private boolean json;

    private record Job(Script script, long seed) {}

    @Override
    public Integer call() throws IOException {
      List<Job> jobs = new ArrayList<>();
      for (String name : scripts) {
        jobs.add(new Job(Script.read(name), 0));
      }
      if (seed != null) {
        jobs.add(new Job(RandomScript.generate(seed), seed));
      }
      if (seeds != null) {
        Matcher range = RANGE.matcher(seeds);
        if (!range.matches()
            || Long.parseLong(range.group(2)) < Long.parseLong(range.group(1))
            || Long.parseLong(range.group(2)) - Long.parseLong(range.group(1)) >= MOST) {
          throw new ParameterException(
              spec.commandLine(), "--seeds: found " + seeds + ", wanted a range such as 1..200");
        }
        LongStream.rangeClosed(Long.parseLong(range.group(1)), Long.parseLong(range.group(2)))
            .forEach(one -> jobs.add(new Job(RandomScript.generate(one), one)));
      }
      if (jobs.isEmpty()) {
        throw new ParameterException(
            spec.commandLine(),
            "a script, --seed or --seeds is missing; `chaos list` shows scripts");
      }
      if (atOnce < 1 || atOnce > 64) {
        throw new ParameterException(
            spec.commandLine(), "--at-once: found " + atOnce + ", wanted 1 to 64");
      }
      return all(jobs);
    }

    private int all(List<Job> jobs) throws IOException {
      ExecutorService pool = Executors.newFixedThreadPool(atOnce);
      int broken = 0;
      Map<String, List<Long>> gaps = new TreeMap<>();
      try {
        List<Future<ScriptRunner.Verdict>> runs =
            jobs.stream().map(job -> pool.submit(() -> one(job, jobs.size() == 1))).toList();
        for (Future<ScriptRunner.Verdict> run : runs) {
          broken += run.get().passed() ? 0 : 1;
          run.get()
              .unownedIntervals()
              .forEach(
                  (kind, some) ->
                      gaps.computeIfAbsent(kind, absent -> new ArrayList<>()).addAll(some));
        }
      } catch (InterruptedException fault) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted");
      } catch (ExecutionException fault) {
        throw fault.getCause() instanceof IOException io ? io : new IOException(fault.getCause());
      } finally {
        pool.shutdownNow();
      }
      if (!json && !gaps.isEmpty()) {
        say("without an owner of the report, after " + UnownedIntervals.describe(gaps));
      }
      if (!json && jobs.size() > 1) {
        say(jobs.size() - broken + " of " + jobs.size() + " runs held");
      }
      return broken == 0 ? Tidebank.DONE : Tidebank.FAILED;
    }

    private synchronized void say(String line) {
      PrintWriter to = spec.commandLine().getOut();
      to.println(line);
      to.flush();
    }

    private ScriptRunner.Verdict one(Job job, boolean alone) throws IOException {
      Path folder = folder(job.script().name());
      ScriptRunner.Verdict verdict =
          new ScriptRunner(
                  job.script(),
                  job.seed(),
                  folder,
                  line -> {
                    if (alone && !json) {
                      say(line);
                    }
                  })
              .run();
      say(json ? new ObjectMapper().writeValueAsString(verdict) : line(verdict));
      if (verdict.passed() && !keep) {
        delete(folder);
      } else if (!json) {
        say("  " + folder + "; again: " + RunArtifacts.replayCommand(verdict, folder));
      }
      return verdict;
    }

    private synchronized Path folder(String name) throws IOException {
      Path made = out.resolve(NAME.format(Instant.now()) + "-" + name).toAbsolutePath();
      for (int i = 2; Files.exists(made); i++) {
        made =
            made.resolveSibling(made.getFileName().toString().replaceAll("~\\d+$", "") + "~" + i);
      }
      return Files.createDirectories(made);
    }

    private static void delete(Path folder) throws IOException {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.deleteIfExists(file);
        }
      }
    }
  }

  private static String line(ScriptRunner.Verdict verdict) {
    return String.format(
        "%-20s %s in %.1f s; %d commands, %d reports, %d of %d scans counted%s",
        verdict.script(),
        verdict.passed() ? "held" : "BROKEN",
        verdict.durationUs() / 1e6,
        verdict.commands(),
        verdict.publications(),
        verdict.queriesCounted(),
        verdict.queriesSent(),
        verdict.violations().stream().map(one -> "\n  " + one).reduce("", String::concat));
  }

  @Command(
      name = "list",
      description = "Lists the built-in scripts.",
      mixinStandardHelpOptions = true)
  static final class ListAll implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
      for (String name : Script.builtInNames()) {
        spec.commandLine().getOut().printf("%-20s %s%n", name, Script.read(name).description());
      }
      return Tidebank.DONE;
    }
  }

  @Command(
      name = "show",
      description = "Shows the verdict of a run, from its folder.",
      mixinStandardHelpOptions = true)
  static final class Show extends ResultCommand {

    @Parameters(paramLabel = "RUN", description = "the run's folder")
    private Path run;

    @Override
    public Integer call() throws IOException {
      ScriptRunner.Verdict verdict = RunArtifacts.readVerdict(run);
      PrintWriter out = out();
      if (json) {
        out.println(
            new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(verdict));
        return Tidebank.DONE;
      }
      out.println(line(verdict));
      for (String name :
          List.of("report.html", "timeline.svg", "history.jsonl", "script.toml", "logs")) {
        out.println("  " + run.resolve(name));
      }
      out.println("again: " + RunArtifacts.replayCommand(verdict, run));
      return Tidebank.DONE;
    }
  }

  @Command(
      name = "load",
      description =
          "Measures the load that coordinators sustain: agents renew as fast as they are answered.",
      mixinStandardHelpOptions = true)
  static final class Loaded implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
        names = "--agents",
        paramLabel = "N",
        split = ",",
        defaultValue = "100,1000",
        description = "default ${DEFAULT-VALUE}")
    private List<Integer> agents;

    @Option(
        names = "--stewards",
        paramLabel = "N",
        split = ",",
        defaultValue = "1,3,5",
        description = "default ${DEFAULT-VALUE}")
    private List<Integer> stewards;

    @Option(
        names = "--seconds",
        paramLabel = "S",
        defaultValue = "10",
        description = "of each; default ${DEFAULT-VALUE}")
    private long seconds;

    @Option(
        names = "--commands",
        paramLabel = "N",
        defaultValue = "" + Long.MAX_VALUE,
        description = "after which each ends sooner")
    private long commands;

    @Override
    public Integer call() throws IOException {
      PrintWriter out = spec.commandLine().getOut();
      out.println(
          "stewards  agents  commands  made again  a second  median ms  99% ms  leader MB  largest"
              + " MB  disk KB");
      for (int count : stewards) {
        for (int many : agents) {
          if (count < 1 || count > 5 || count % 2 == 0 || many < 1 || many > 5000) {
            throw new ParameterException(
                spec.commandLine(), "wanted 1, 3 or 5 stewards and 1 to 5000 agents");
          }
          Path folder = Files.createTempDirectory("tidebank-load");
          CoordinatorLoad.Result one = CoordinatorLoad.run(folder, count, many, commands, seconds);
          out.printf(
              "%8d  %6d  %8d  %10d  %8.0f  %9.2f  %6.2f  %9d  %10d  %7d%n",
              one.coordinators(),
              one.agents(),
              one.commands(),
              one.retries(),
              one.commandsPerSecond(),
              one.p50Us() / 1e3,
              one.p99Us() / 1e3,
              one.leaderMemoryKb() >> 10,
              one.largestMemoryKb() >> 10,
              one.diskBytes() >> 10);
          out.flush();
          Run.delete(folder);
        }
      }
      return Tidebank.DONE;
    }
  }
}
