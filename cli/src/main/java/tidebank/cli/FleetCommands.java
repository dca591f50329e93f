package tidebank.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tidebank.coordinator.CoordinatorClient;
import tidebank.coordinator.CoordinatorMain;
import tidebank.errors.MembershipException;
import tidebank.errors.TidebankException;
import tidebank.fleet.LeaseJson;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.lease.LeaseTableState;
import tidebank.lease.Member;
import tidebank.lease.TaskLease;

/** The fleet's duties, as its operators see and steer them. */
@Command(
    name = "fleet",
    description = "Shows and steers the fleet's duties: who is a member, and who owns what.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      FleetCommands.Status.class,
      FleetCommands.Members.class,
      FleetCommands.Tasks.class,
      FleetCommands.History.class,
      FleetCommands.Move.class,
      FleetCommands.Drain.class,
      FleetCommands.Admit.class,
      FleetCommands.Retire.class,
      FleetDemo.class
    })
final class FleetCommands implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  /** One steward's process. */
  @Command(
      name = "coordinator",
      description =
          "Runs a steward, one of the fleet's control processes, configured by its own file.",
      mixinStandardHelpOptions = true,
      exitCodeListHeading = "%nExit codes:%n",
      exitCodeList = {"0:ended by SIGTERM", "1:it could not start", "2:wrong arguments or file"})
  static final class CoordinatorCommand implements Callable<Integer> {
    @Option(
        names = "--config",
        required = true,
        paramLabel = "FILE",
        description = "such as deploy/steward.toml")
    private Path config;

    @Override
    public Integer call() throws IOException {
      return CoordinatorMain.serve(config);
    }
  }

  /** What all of them have in common. */
  abstract static class Calling implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
        names = {"--coordinators", "--stewards"},
        paramLabel = "HOST:PORT",
        split = ",",
        defaultValue = "127.0.0.1:7200",
        description =
            "where the coordinators listen (--stewards is the same); default ${DEFAULT-VALUE}")
    private List<String> coordinators;

    @Option(names = "--json", description = "prints JSON")
    protected boolean json;

    @Option(
        names = "--patience-ms",
        paramLabel = "MS",
        defaultValue = "10000",
        description = "how long to go on asking; default ${DEFAULT-VALUE}")
    private long patienceMs;

    protected PrintWriter out() {
      return spec.commandLine().getOut();
    }

    final CommandLine line() {
      return spec.commandLine();
    }

    protected CoordinatorClient client() {
      return new CoordinatorClient(coordinators, patienceMs);
    }

    protected int show(Object whole, List<String> head, Stream<List<String>> rows)
        throws JsonProcessingException {
      if (json) {
        out()
            .println(
                LeaseJson.configure(new ObjectMapper())
                    .writerWithDefaultPrettyPrinter()
                    .writeValueAsString(whole));
        return Tidebank.DONE;
      }
      List<List<String>> all = new ArrayList<>(List.of(head));
      rows.forEach(all::add);
      for (List<String> row : all) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < row.size(); column++) {
          int at = column;
          int width = all.stream().mapToInt(one -> one.get(at).length()).max().orElse(0);
          line.append(row.get(column)).append(" ".repeat(width - row.get(column).length() + 2));
        }
        out().println(line.toString().stripTrailing());
      }
      return Tidebank.DONE;
    }

    protected int operate(Kind kind, String name, String duty, String done) throws IOException {
      CommandResult answer = client().sendOperatorCommand(kind, name, duty);
      if (answer.error() != null) {
        throw new TidebankException.RequestRejected(answer.error());
      }
      out().println(json ? "{\"done\":true}" : done);
      return Tidebank.DONE;
    }

    protected static String dash(String text) {
      return text.isEmpty() ? "-" : text;
    }

    protected static String member(LeaseTableState state, Member member) {
      return member.retired()
          ? "retired"
          : member.expiresAt() <= state.leaderClock()
              ? "silent"
              : member.draining()
                  ? "drained"
                  : member.eligibleAt() > state.leaderClock() ? "held off" : "alive";
    }

    /** The owner at the moment of the last command that the stewards decided, or a dash. */
    protected static String owner(LeaseTableState state, TaskLease duty) {
      return duty.holder().isEmpty() || duty.expiresAt() <= state.leaderClock()
          ? "-"
          : duty.holder();
    }
  }

  /** One that shows something, once or as it changes. */
  abstract static class Shown extends Calling {
    @Option(names = "--watch", description = "shows it anew as it changes, until q or Ctrl-C")
    private boolean watch;

    @Override
    public Integer call() throws IOException {
      return watch ? Watch.over(this) : once();
    }

    /** Shows it, on the command line's output of that moment. */
    abstract int once() throws IOException;
  }

  @Command(
      name = "status",
      description = "Says in a few lines whether every duty has its owner.",
      mixinStandardHelpOptions = true)
  static final class Status extends Shown {
    @Override
    int once() throws IOException {
      LeaseTableState state = client().state();
      Map<String, Integer> members = new TreeMap<>();
      state.members().forEach(member -> members.merge(member(state, member), 1, Integer::sum));
      List<String> without =
          state.tasks().stream()
              .filter(duty -> owner(state, duty).equals("-"))
              .map(TaskLease::task)
              .toList();
      Map<String, Object> whole =
          Map.of(
              "term",
              state.term(),
              "members",
              members,
              "duties",
              state.tasks().size(),
              "without_owner",
              without,
              "lease_ms",
              state.config().leaseUs() / 1000);
      return show(
          whole,
          List.of("term", "members", "duties", "without owner", "lease"),
          Stream.of(
              List.of(
                  String.valueOf(state.term()),
                  members.isEmpty() ? "none" : members.toString().replaceAll("[{}]", ""),
                  String.valueOf(state.tasks().size()),
                  without.isEmpty() ? "none" : String.join(", ", without),
                  state.config().leaseUs() / 1000 + " ms")));
    }
  }

  @Command(name = "members", description = "Lists the members.", mixinStandardHelpOptions = true)
  static final class Members extends Shown {
    @Override
    int once() throws IOException {
      LeaseTableState state = client().state();
      return show(
          state.members(),
          List.of("member", "is", "duties"),
          state.members().stream()
              .map(
                  member ->
                      List.of(
                          member.name(),
                          member(state, member),
                          String.join(
                              ", ",
                              state.tasks().stream()
                                  .filter(duty -> owner(state, duty).equals(member.name()))
                                  .map(TaskLease::task)
                                  .toList()))));
    }
  }

  @Command(
      name = "tasks",
      description = "Lists the duties with their owners and what is published.",
      mixinStandardHelpOptions = true)
  static final class Tasks extends Shown {
    @Override
    int once() throws IOException {
      LeaseTableState state = client().state();
      return show(
          state.tasks(),
          List.of("duty", "owner", "token", "meant for", "pinned to", "revision", "published"),
          state.tasks().stream()
              .map(
                  duty ->
                      List.of(
                          duty.task(),
                          owner(state, duty),
                          String.valueOf(duty.fencingToken()),
                          dash(duty.assignedMember()),
                          dash(duty.stickyMember()),
                          String.valueOf(duty.revision()),
                          dash(duty.value()))));
    }
  }

  @Command(
      name = "history",
      description = "Tells what became of a duty: the last 64 grants, releases and moves.",
      mixinStandardHelpOptions = true)
  static final class History extends Shown {
    @Parameters(paramLabel = "DUTY", description = "the duty's name")
    private String duty;

    @Override
    int once() throws IOException {
      List<CoordinatorClient.AuditEntry> past = client().auditLog().get(duty);
      if (past == null) {
        throw new MembershipException.TaskNotFound(duty);
      }
      return show(
          past,
          List.of("when", "token", "what", "member"),
          past.stream()
              .map(
                  one ->
                      List.of(
                          Instant.ofEpochMilli(one.timestampMs()).toString(),
                          String.valueOf(one.fencingToken()),
                          one.event(),
                          dash(one.member()))));
    }
  }

  @Command(
      name = "move",
      description = "Has a duty at one member, or with --anywhere where it falls.",
      mixinStandardHelpOptions = true)
  static final class Move extends Calling {
    @Parameters(paramLabel = "DUTY", description = "the duty's name")
    private String duty;

    /** One of the two has to be given. */
    static final class Where {
      @Option(names = "--to", paramLabel = "NAME", description = "the member's name")
      private String to;

      @Option(names = "--anywhere", description = "no longer at one member")
      private boolean anywhere;
    }

    @ArgGroup(multiplicity = "1")
    private Where where;

    @Override
    public Integer call() throws IOException {
      String to = where.anywhere ? "" : where.to;
      return operate(
          Kind.MOVE,
          to,
          duty,
          duty
              + " is meant "
              + (to.isEmpty() ? "for any member" : "for " + to)
              + " now; its owner lets go of it with its next renewal");
    }
  }

  /** What is done to one member. */
  abstract static class ToMember extends Calling {
    @Parameters(paramLabel = "NAME", description = "the member's name")
    protected String name;
  }

  @Command(
      name = "drain",
      description = "Takes all duties from a member, and gives it no other.",
      mixinStandardHelpOptions = true)
  static final class Drain extends ToMember {
    @Override
    public Integer call() throws IOException {
      return operate(
          Kind.DRAIN, name, "", name + " gets no duty any more, and lets go of those it has");
    }
  }

  @Command(
      name = "admit",
      description = "Lets a drained member have duties again.",
      mixinStandardHelpOptions = true)
  static final class Admit extends ToMember {
    @Override
    public Integer call() throws IOException {
      return operate(Kind.ADMIT, name, "", name + " may have duties again");
    }
  }

  @Command(
      name = "retire",
      description = "Ends a name for good: no process may be a member under it again.",
      mixinStandardHelpOptions = true)
  static final class Retire extends ToMember {
    @Override
    public Integer call() throws IOException {
      return operate(
          Kind.RETIRE,
          name,
          "",
          name + " is retired; its duties go on elsewhere once its lease has ended");
    }
  }
}
