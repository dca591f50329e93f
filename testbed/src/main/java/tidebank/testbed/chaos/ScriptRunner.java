package tidebank.testbed.chaos;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import tidebank.coordinator.CoordinatorClient;
import tidebank.lease.LeaseConfig;
import tidebank.lease.TaskLease;
import tidebank.testbed.chaos.Script.Step;

/**
 * Runs a script on a new test cluster and checks the recorded history against all rules. Each step
 * waits up to 30 s for its condition; a condition that is not met in time counts as a violation.
 */
public final class ScriptRunner {
  private static final long STEP_TIMEOUT_MS = 30_000;
  private static final long POLL_MS = 5;
  private static final long NS_PER_MS = 1_000_000;
  private static final long US_PER_MS = 1000;
  private static final double US_PER_S = 1e6;
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

  /**
   * The outcome of a run. Stored and printed as JSON with the property names given here.
   *
   * @param script name of the script
   * @param seed seed of the links' jitter and of a random script
   * @param violations violated rules; empty if the run passed
   * @param durationUs duration of the run, in microseconds
   * @param queriesSent number of queries sent to members
   * @param queriesCounted number of queries counted in published reports
   * @param commands number of recorded commands
   * @param reads number of recorded reads of the coordinators' state
   * @param publications number of published reports
   * @param unownedIntervals intervals during which the report task had no holder, in microseconds,
   *     by the kind of fault that the previous holder had
   */
  @JsonPropertyOrder({
    "script",
    "seed",
    "broken",
    "took",
    "scans",
    "counted",
    "commands",
    "reads",
    "publications",
    "gaps"
  })
  public record Verdict(
      String script,
      long seed,
      @JsonProperty("broken") List<String> violations,
      @JsonProperty("took") long durationUs,
      @JsonProperty("scans") int queriesSent,
      @JsonProperty("counted") long queriesCounted,
      int commands,
      int reads,
      int publications,
      @JsonProperty("gaps") Map<String, List<Long>> unownedIntervals) {
    /** Returns whether no rule was violated. */
    public boolean passed() {
      return violations.isEmpty();
    }
  }

  private final Script script;
  private final long seed;
  private final Path runFolder;
  private final Consumer<String> progress;
  private final History history = new History();
  private final List<String> violations = new ArrayList<>();
  private TestCluster cluster;
  private SharedFolderCheck sharedFolder;
  private ClusterObserver observer;
  private ProcessSelector processes;
  private StepConditions conditions;
  private StepExecutor executor;

  /**
   * Prepares a run.
   *
   * @param seed seed of the links' jitter
   * @param folder folder for the run's files; must exist and be empty
   * @param progress receives a line of text for each event
   */
  public ScriptRunner(Script script, long seed, Path folder, Consumer<String> progress) {
    this.script = script;
    this.seed = seed;
    this.runFolder = folder;
    this.progress = progress;
  }

  /**
   * Runs the script, checks its history and writes the run's files.
   *
   * @throws IOException if the cluster can't be started or the files can't be written
   */
  public Verdict run() throws IOException {
    Files.writeString(runFolder.resolve("script.toml"), script.toToml());
    PublishedReports reports;
    int queriesSent;
    try (TestCluster started = new TestCluster(runFolder, script, history, seed)) {
      cluster = started;
      reports = new PublishedReports(cluster.sharedFolder());
      sharedFolder = new SharedFolderCheck(cluster.sharedFolder());
      observeAndRun(reports);
      queriesSent = cluster.queriesSent();
      if (reports.queriesCounted() > queriesSent) {
        violations.add(
            "published reports count "
                + reports.queriesCounted()
                + " queries, but only "
                + queriesSent
                + " were sent");
      }
    }
    violations.addAll(reports.violations());
    violations.addAll(sharedFolder.violations());
    violations.addAll(
        LeaseRules.findViolations(
            history, new LeaseConfig(script.leaseMs() * US_PER_MS, script.maxClockDrift(), 0, 0)));
    Verdict verdict = buildVerdict(reports, queriesSent);
    RunArtifacts.write(runFolder, script, history, verdict);
    return verdict;
  }

  private void observeAndRun(PublishedReports reports) {
    try (ClusterObserver started =
        new ClusterObserver(cluster.coordinatorAddresses(), history, reports, sharedFolder)) {
      observer = started;
      processes = new ProcessSelector(cluster, observer);
      conditions = new StepConditions(cluster, observer, processes, history);
      executor =
          new StepExecutor(
              script,
              runFolder,
              cluster,
              sharedFolder,
              processes,
              new CoordinatorClient(cluster.coordinatorAddresses(), STEP_TIMEOUT_MS, CALL_TIMEOUT),
              this::recordEvent);
      runSteps();
      awaitRecovery();
    } catch (IOException | UncheckedIOException fault) {
      violations.add(fault.getMessage());
      recordEvent("script", "failed: " + fault.getMessage());
    }
  }

  private Verdict buildVerdict(PublishedReports reports, int queriesSent) {
    return new Verdict(
        script.name(),
        seed,
        List.copyOf(violations),
        history.now(),
        queriesSent,
        reports.queriesCounted(),
        history.commands().size(),
        history.reads().size(),
        reports.count(),
        UnownedIntervals.measure(history.events(), history.commands(), "report"));
  }

  private void recordEvent(String process, String description) {
    history.recordEvent(process, description);
    progress.accept(
        String.format("%6.2f s  %-8s %s", history.now() / US_PER_S, process, description));
  }

  private void runSteps() throws IOException {
    conditions.setMark();
    awaitCondition(
        "initial state: all members alive and all tasks held",
        () -> conditions.isSettled(script.members()));
    awaitCondition(
        "first report published", () -> reportLease() != null && reportLease().revision() > 0);
    recordEvent(
        "fleet",
        script.coordinators()
            + " coordinators and "
            + script.members()
            + " members; "
            + processes.reportHolder()
            + " holds the report task, fencing token "
            + reportLease().fencingToken());
    conditions.setMark();
    int number = 0;
    for (Step step : script.steps()) {
      number++;
      awaitCondition(
          "step "
              + number
              + ", "
              + step.describe()
              + ", which waits for condition "
              + describeCondition(step),
          () -> conditions.isMet(step));
      executor.execute(step);
      conditions.setMark();
    }
  }

  private static String describeCondition(Step step) {
    return step.condition() == Script.Condition.NOTHING
        ? "nothing"
        : step.condition() + " x" + step.count();
  }

  /** Ends all faults and checks that the cluster then recovers without intervention. */
  private void awaitRecovery() throws IOException {
    cluster.repairAll();
    recordEvent("fleet", "all faults ended");
    awaitCondition(
        "all members alive and all tasks held after all faults ended",
        () -> conditions.isSettled(script.members()));
    cluster.sendQueries(1);
    conditions.setMark();
    awaitCondition(
        "two reports published after all faults ended", () -> conditions.hasPublishedReports(2));
    awaitCondition(
        "published reports count all queries to routers that kept running: "
            + queriesToBeCounted()
            + " of "
            + cluster.queriesSent(),
        () -> observer.observation().queriesCounted() >= queriesToBeCounted());
    awaitCondition(
        "all expired files removed from the shared folder",
        () -> sharedFolder.countExpiredFilesLeft() == 0);
    recordEvent(
        "fleet",
        observer.observation().queriesCounted()
            + " queries counted of "
            + cluster.queriesSent()
            + " sent");
  }

  /** Returns how many queries the published reports must count at least. */
  private int queriesToBeCounted() {
    return cluster.queriesSent() - cluster.queriesPossiblyUnreported();
  }

  private TaskLease reportLease() {
    return observer.observation().reportLease();
  }

  private void awaitCondition(String description, BooleanSupplier condition) throws IOException {
    long deadline = System.nanoTime() + STEP_TIMEOUT_MS * NS_PER_MS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new IOException(
            "condition not met within "
                + STEP_TIMEOUT_MS / 1000
                + " s: "
                + description
                + "; last observation: "
                + observer.observation().describe());
      }
      try {
        Thread.sleep(POLL_MS);
      } catch (InterruptedException fault) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted", fault);
      }
    }
  }
}
