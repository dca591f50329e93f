package tidebank.testbed.chaos;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;
import tidebank.coordinator.CoordinatorClient;
import tidebank.errors.TidebankException;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.lease.LeaseConfig;
import tidebank.lease.LeaseTable;
import tidebank.testbed.chaos.Script.Step;

/**
 * Plays a script on a fleet of its own and judges what was seen. Every step waits for something,
 * for a bounded time; what never came is a fault of the run like any other.
 */
public final class ScriptRunner {
  private static final long PATIENCE_MS = 30_000;
  private static final long LOOK_MS = 5;
  private static final Duration ONE = Duration.ofMillis(800);

  /**
   * What came of a run.
   *
   * @param broken what did not hold; empty if all did
   * @param took in microseconds
   * @param scans sent, and counted in published reports
   * @param gaps how long the report was without an owner, by what had happened to the one before,
   *     in microseconds
   */
  public record Verdict(
      String script,
      long seed,
      List<String> broken,
      long took,
      int scans,
      long counted,
      int commands,
      int reads,
      int publications,
      Map<String, List<Long>> gaps) {
    public boolean held() {
      return broken.isEmpty();
    }
  }

  /** What the fleet was like when the last step had been taken. */
  private record Mark(
      long revision,
      long token,
      int leader,
      long round,
      Map<String, Integer> sent,
      Map<String, Integer> renewals,
      Map<String, Integer> claims,
      int lists) {}

  private final Script script;
  private final long seed;
  private final Path folder;
  private final Consumer<String> told;
  private final History history = new History();
  private final Map<String, List<String>> called = new HashMap<>();
  private final List<String> broken = new ArrayList<>();
  private TestCluster rig;
  private SharedFolderCheck stored;
  private ClusterObserver observer;
  private CoordinatorClient operator;
  private Mark mark;

  /**
   * @param folder the run's own, which is to be there and empty
   * @param told hears how it goes, a line at a time
   */
  public ScriptRunner(Script script, long seed, Path folder, Consumer<String> told) {
    this.script = script;
    this.seed = seed;
    this.folder = folder;
    this.told = told;
  }

  /** Plays it to its end and writes the run's folder. */
  public Verdict run() throws IOException {
    Files.writeString(folder.resolve("script.toml"), script.toml());
    Reports reports = null;
    int sent = 0;
    try (TestCluster fleet = new TestCluster(folder, script, history, seed)) {
      rig = fleet;
      reports = new Reports(rig.shared());
      stored = new SharedFolderCheck(rig.shared());
      try (ClusterObserver looking = new ClusterObserver(rig.direct(), history, reports, stored)) {
        observer = looking;
        operator = new CoordinatorClient(rig.direct(), PATIENCE_MS, ONE);
        steps();
        settle();
      } catch (IOException | UncheckedIOException fault) {
        broken.add(fault.getMessage());
        say("script", "broken: " + fault.getMessage());
      }
      sent = rig.sent();
      if (reports.scans() > sent) {
        broken.add("published reports count " + reports.scans() + " scans, " + sent + " were sent");
      }
    }
    broken.addAll(reports.faults());
    broken.addAll(stored.faults());
    broken.addAll(
        LeaseRules.broken(history, new LeaseConfig(script.leaseMs() * 1000, script.drift(), 0, 0)));
    Verdict verdict =
        new Verdict(
            script.name(),
            seed,
            List.copyOf(broken),
            history.now(),
            sent,
            reports.scans(),
            history.asked().size(),
            history.reads().size(),
            reports.count(),
            UnownedIntervals.of(history.events(), history.asked(), "report"));
    RunArtifacts.write(folder, script, history, verdict);
    return verdict;
  }

  private void say(String who, String what) {
    history.event(who, what);
    told.accept(String.format("%6.2f s  %-8s %s", history.now() / 1e6, who, what));
  }

  private void steps() throws IOException {
    mark();
    until("all members alive and all duties owned", () -> alive() == script.members() && owned());
    until("a first report", () -> report() != null && report().revision() > 0);
    say(
        "fleet",
        script.stewards()
            + " stewards and "
            + script.members()
            + " members; "
            + owner()
            + " owns the report by token "
            + report().fencingToken());
    mark();
    int number = 0;
    for (Step step : script.steps()) {
      number++;
      String wait =
          step.await() == Script.Await.NOTHING ? "nothing" : step.await() + " x" + step.count();
      until("step " + number + ", " + step.said() + ", which waits for " + wait, () -> seen(step));
      act(step);
      mark();
    }
  }

  /** All is mended, and then everything has to come right by itself. */
  private void settle() throws IOException {
    rig.mend();
    say("fleet", "all mended");
    until(
        "all members alive and all duties owned after all was mended",
        () -> alive() == script.members() && owned());
    rig.scans(1);
    mark();
    until("two reports after all was mended", () -> report().revision() >= mark.revision() + 2);
    until(
        "a count of all scans that were told of: "
            + (rig.sent() - rig.untold())
            + " of "
            + rig.sent(),
        () -> observer.sight().scans() >= rig.sent() - rig.untold());
    until("all files that were kept too long removed", () -> stored.old() == 0);
    say("fleet", observer.sight().scans() + " scans counted of " + rig.sent() + " sent");
  }

  // ---- what is waited for

  private void until(String what, BooleanSupplier seen) throws IOException {
    long end = System.nanoTime() + PATIENCE_MS * 1_000_000;
    while (!seen.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new IOException(
            "not in "
                + PATIENCE_MS / 1000
                + " s: "
                + what
                + "; last seen: "
                + observer.sight().said());
      }
      try {
        Thread.sleep(LOOK_MS);
      } catch (InterruptedException fault) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted");
      }
    }
  }

  private LeaseTable.TaskLease report() {
    return observer.sight().report();
  }

  private long alive() {
    LeaseTable.State state = observer.sight().state();
    return state == null || observer.sight().leader() < 0
        ? 0
        : state.members().stream()
            .filter(member -> member.expiresAt() > state.leaderClock())
            .count();
  }

  private boolean owned() {
    LeaseTable.State state = observer.sight().state();
    return state != null
        && observer.sight().leader() >= 0
        && !state.tasks().isEmpty()
        && state.tasks().stream()
            .allMatch(duty -> !duty.holder().isEmpty() && duty.expiresAt() > state.leaderClock());
  }

  private void mark() {
    ClusterObserver.Sight sight = observer.sight();
    Map<String, Integer> sent = new HashMap<>();
    Map<String, Integer> renewals = new HashMap<>();
    Map<String, Integer> claims = new HashMap<>();
    for (String name : rig.memberNames()) {
      sent.put(name, history.sent(name));
      renewals.put(name, history.renewals(name));
      claims.put(name, history.claims(name, "report"));
    }
    mark =
        new Mark(
            report() == null ? 0 : report().revision(),
            report() == null ? 0 : report().fencingToken(),
            sight.leader(),
            sight.round(),
            sent,
            renewals,
            claims,
            history.published("retention"));
  }

  private boolean seen(Step step) {
    LeaseTable.TaskLease duty = report();
    ClusterObserver.Sight sight = observer.sight();
    return switch (step.await()) {
      case NOTHING -> true;
      case PUBLICATIONS -> duty.revision() >= mark.revision() + step.count();
      case RENEWALS -> more(step, history::renewals, mark.renewals());
      case CALLS -> more(step, history::sent, mark.sent());
      case CLAIMS -> more(step, name -> history.claims(name, "report"), mark.claims());
      case LISTS -> history.published("retention") >= mark.lists() + step.count();
      case GRANT -> duty.fencingToken() > mark.token();
      case SUCCESSOR -> duty.publishingToken() > mark.token();
      case EXPIRED -> duty.holder().isEmpty() || duty.expiresAt() <= sight.state().leaderClock();
      case OWNED -> owned();
      case ALIVE -> alive() >= step.count();
      case LEADER -> sight.leader() >= 0 && sight.leader() != mark.leader();
      case LEADERLESS -> sight.leader() < 0 && sight.round() > mark.round() + 1;
      case ENDED -> who(step.of()).stream().noneMatch(rig::alive);
    };
  }

  private boolean more(Step step, ToIntFunction<String> now, Map<String, Integer> then) {
    return who(step.of()).stream()
            .mapToInt(name -> now.applyAsInt(name) - then.getOrDefault(name, 0))
            .sum()
        >= step.count();
  }

  // ---- who is meant

  private String owner() {
    LeaseTable.TaskLease duty = report();
    return duty == null || duty.holder().isEmpty() ? rig.memberNames().get(0) : duty.holder();
  }

  private String leader() {
    return "s" + Math.max(0, observer.sight().leader());
  }

  private List<String> who(String name) {
    return switch (name) {
      case "owner" -> List.of(owner());
      case "remover" -> {
        LeaseTable.TaskLease duty = LeaseRules.duty(observer.sight().state(), "retention");
        yield List.of(duty == null || duty.holder().isEmpty() ? owner() : duty.holder());
      }
      case "other" ->
          List.of(
              rig.memberNames().stream()
                  .filter(one -> !one.equals(owner()))
                  .findFirst()
                  .orElse(owner()));
      case "leader" -> List.of(leader());
      case "follower" ->
          List.of(
              rig.stewardNames().stream()
                  .filter(one -> !one.equals(leader()))
                  .findFirst()
                  .orElse(leader()));
      case "members" -> rig.memberNames();
      case "stewards" -> rig.stewardNames();
      case "all" -> Stream.concat(rig.memberNames().stream(), rig.stewardNames().stream()).toList();
      default -> called.getOrDefault(name, List.of(name));
    };
  }

  // ---- what is done

  private void act(Step step) throws IOException {
    List<String> whom = step.who().isEmpty() ? List.of() : who(step.who());
    if (!step.as().isEmpty()) {
      called.put(step.as(), whom);
    }
    for (String name : whom) {
      if (!rig.memberNames().contains(name) && !rig.stewardNames().contains(name)) {
        throw new IOException("the script names '" + name + "', and there is no such process");
      }
    }
    if (step.act() != Script.Do.NOTHING) {
      say(whom.size() == 1 ? whom.get(0) : step.who(), step.said());
    }
    switch (step.act()) {
      case SCANS -> rig.scans(step.scans());
      case LITTER -> stored.litter(step.scans());
      case MOVE_ANYWHERE -> operate(Kind.MOVE, "");
      default -> {
        for (String name : whom) {
          act(step, name);
        }
      }
    }
  }

  private void act(Step step, String name) throws IOException {
    switch (step.act()) {
      case STOP -> rig.stop(name);
      case WAKE -> rig.wake(name);
      case KILL -> rig.end(name, true);
      case TERM -> rig.end(name, false);
      case START ->
          rig.start(
              name, step.clock() == 1 ? script.clocks().getOrDefault(name, 1.0) : step.clock());
      case LINK -> {
        for (String to : who(step.to())) {
          if (!to.equals(name)) {
            rig.link(name, to, step.fault(), step.ms(), step.jitterMs(), step.bytesPerS());
          }
        }
      }
      case COPY_DISK -> TestCluster.copy(rig.disk(name), folder.resolve("kept-" + name));
      case OLDER_DISK -> TestCluster.copy(folder.resolve("kept-" + name), rig.disk(name));
      case EMPTY_DISK -> TestCluster.clear(rig.disk(name));
      case DAMAGED_DISK -> damage(rig.disk(name));
      case DRAIN -> operate(Kind.DRAIN, name);
      case ADMIT -> operate(Kind.ADMIT, name);
      case MOVE -> operate(Kind.MOVE, name);
      default -> {}
    }
  }

  private void operate(Kind kind, String name) throws IOException {
    CommandResult answer =
        operator.operate(kind, name, kind == LeaseCommand.Kind.MOVE ? "report" : "");
    if (answer.error() != null) {
      throw new TidebankException.RequestRejected(answer.error());
    }
  }

  private static void damage(Path disk) throws IOException {
    try (Stream<Path> files = Files.walk(disk)) {
      List<Path> snapshots =
          files
              .filter(file -> file.getFileName().toString().matches("snapshot\\.\\d+_\\d+"))
              .sorted()
              .toList();
      if (snapshots.isEmpty()) {
        throw new IOException("there is no snapshot to damage in " + disk);
      }
      for (Path snapshot : snapshots) {
        byte[] whole = Files.readAllBytes(snapshot);
        Files.write(snapshot, Arrays.copyOf(whole, whole.length / 2));
      }
    }
  }
}
