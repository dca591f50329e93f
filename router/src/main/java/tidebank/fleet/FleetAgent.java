package tidebank.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.UUID;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.errors.TidebankException;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseHolder;
import tidebank.lease.LeaseTable;

/**
 * A gatherer's part in the fleet, on a thread of its own: it stays a member, owns the duties that
 * are meant for it, and does them. Nothing of it touches the event loop but by a {@link
 * AgentMailbox}; neither waits for the other. If the stewards are gone it stops its duties and goes
 * on asking; scans notice nothing.
 */
public final class FleetAgent {
  private static final Logger LOG = LoggerFactory.getLogger(FleetAgent.class);
  private static final String REPORT = "report";
  private static final String RETENTION = "retention";

  /** Names that one list of removals may have, so that its file stays small. */
  private static final int REMOVALS_MOST = 1000;

  /**
   * How long it waits before it asks again where nobody answered, and the most it sleeps at a time.
   */
  private static final long PAUSE_MS = 50;

  private static final long NAP_MS = 20;

  /** How long the stewards may let a call wait that has no news for it. */
  private static final int NEWS_MS = 5000;

  /**
   * How a gatherer takes part.
   *
   * @param stewards where they listen, as host:port
   * @param folder that all members share
   * @param everyUs how often each tells its counters, a report is made and what is stored is looked
   *     through, in microseconds
   * @param keep how long and how much is stored
   */
  public record Plan(List<String> stewards, Path folder, long everyUs, Retention.Bounds keep) {}

  private final Plan plan;
  private final String name;
  private final String session = UUID.randomUUID().toString();
  private final Supplier<SortedMap<String, Long>> counters;
  private final Executor loop;
  private final AgentMailbox handover = new AgentMailbox();
  private final LeaseHolder holder;
  private final CoordinatorSession link;
  private final Thread thread;
  private final Thread waiter;
  private SharedFolder folder;
  private long toldAt;
  private long sequence;
  private long reportAt;
  private long retainAt;
  private String said = "";

  /**
   * @param counters what the gatherer has counted since its start; asked for on its event loop
   * @param loop that event loop
   */
  public FleetAgent(
      Plan plan, String name, Supplier<SortedMap<String, Long>> counters, Executor loop) {
    this.loop = loop;
    this.plan = plan;
    this.name = name;
    this.counters = counters;
    holder = new LeaseHolder(name, session);
    link = new CoordinatorSession(plan.stewards());
    thread = new Thread(this::run, "fleet agent");
    thread.setDaemon(true);
    waiter = new Thread(this::hear, "fleet news");
    waiter.setDaemon(true);
  }

  public FleetAgent start() {
    toldAt = now() - plan.everyUs();
    thread.start();
    waiter.start();
    return this;
  }

  /**
   * Lets go of all duties while the gatherer drains, so that others need not wait for the leases'
   * ends. Returns at once.
   */
  public void leave() {
    handover.leave();
  }

  private static long now() {
    return System.nanoTime() / 1000;
  }

  private void run() {
    while (!holder.hasLeft()) {
      try {
        if (handover.leaving()) {
          holder.leave();
        }
        if (handover.takeNews()) {
          holder.renewSoon(now());
        }
        boolean idle = !ask();
        if (idle && !handover.leaving()) {
          tell();
          report();
          retain();
          Thread.sleep(NAP_MS);
        }
      } catch (InterruptedException fault) {
        Thread.currentThread().interrupt();
        return;
      } catch (IOException fault) {
        TidebankException named =
            fault instanceof TidebankException known
                ? known
                : new TidebankException.FleetFolderUnusable(
                    plan.folder().toString(), fault.toString());
        say(named.details());
        pause();
      } catch (RuntimeException fault) {
        // Such as counters asked for while the gatherer ends.
        LOG.warn("the agent's turn failed", fault);
        pause();
      }
    }
  }

  /**
   * Waits at the stewards for a duty to claim, so that it is claimed at once and not with the next
   * renewal.
   */
  private void hear() {
    CoordinatorSession own = new CoordinatorSession(plan.stewards());
    while (!handover.leaving()) {
      try {
        if (own.news(name, NEWS_MS)) {
          handover.news();
        }
      } catch (IOException | RuntimeException fault) {
        LOG.debug("no news to be had", fault);
      }
      // What was told may take a moment to be claimed, and stewards that are gone are not to be
      // asked without a pause.
      pause();
    }
  }

  /** One call, if there is one to make; false if there is none. */
  private boolean ask() throws IOException {
    return call(holder.nextCommand(now())) != null;
  }

  private CommandResult call(LeaseCommand command) throws IOException {
    if (command == null) {
      return null;
    }
    while (true) {
      Optional<CommandResult> answer = link.command(command);
      if (answer.isPresent() && answer.get().config() != null) {
        holder.handleResult(command.sequence(), answer.get(), now());
        if (answer.get().error() != null) {
          say(answer.get().error());
        } else {
          said = "";
          if (command.kind() == LeaseCommand.Kind.CLAIM) {
            LOG.info(
                "owns duty "
                    + command.task()
                    + " by token "
                    + holder.tokenIfHeld(command.task(), now(), 0));
          }
        }
        return answer.get();
      }
      if (handover.leaving() && command.kind() != LeaseCommand.Kind.LEAVE) {
        throw new TidebankException.CoordinatorUnavailable(plan.stewards().toString());
      }
      pause();
    }
  }

  private void pause() {
    try {
      Thread.sleep(PAUSE_MS);
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
    }
  }

  /** What repeats is said once, until something went well again. */
  private void say(TidebankException.Details fault) {
    if (!fault.code().equals(said)) {
      said = fault.code();
      LOG.warn(fault.lines().replace('\n', ' '));
    }
  }

  private SharedFolder folder() throws IOException {
    folder = folder == null ? new SharedFolder(plan.folder()) : folder;
    return folder;
  }

  private void tell() throws IOException {
    if (now() - toldAt >= plan.everyUs() && handover.ask()) {
      loop.execute(() -> handover.tell(counters.get()));
    }
    SortedMap<String, Long> told = handover.take();
    if (told != null) {
      toldAt = now();
      folder().tell(name, new FleetReport.MemberCounters(session, ++sequence, told));
    }
  }

  /**
   * The duty: reads what is published, writes the next report beside it under a name with the
   * token, and has it published. If the process stands still anywhere in between, the stewards
   * refuse the old token or the old revision, and the file is of no account.
   */
  private void report() throws IOException {
    long token = holder.tokenIfHeld(REPORT, now(), 0);
    if (token == 0 || now() - reportAt < plan.everyUs()) {
      return;
    }
    reportAt = now();
    Optional<LeaseTable.State> state = link.state();
    LeaseTable.TaskLease duty = duty(state, REPORT);
    if (duty == null) {
      return;
    }
    List<String> alive =
        state.get().members().stream()
            .filter(member -> member.expiresAt() > state.get().leaderClock())
            .map(LeaseTable.Member::name)
            .toList();
    FleetReport next =
        folder().read(duty.value()).next(duty.value(), token, alive, folder().told());
    String written = folder().write(next);
    CommandResult answer = call(holder.publish(REPORT, duty.revision(), written, now()));
    if (answer != null && answer.error() == null) {
      LOG.info("published " + written);
      folder().tidy(next);
    }
  }

  private static LeaseTable.TaskLease duty(Optional<LeaseTable.State> state, String name) {
    return state
        .flatMap(known -> known.tasks().stream().filter(one -> one.task().equals(name)).findFirst())
        .orElse(null);
  }

  /**
   * The duty: finishes the removals that are published, as their owner may have died over them,
   * then lists what is kept too long and has the list published, and only then removes what it
   * names. Whoever stands still in between removes late what was to go, or has its list refused.
   */
  private void retain() throws IOException {
    long token = holder.tokenIfHeld(RETENTION, now(), 0);
    if (token == 0 || now() - retainAt < plan.everyUs()) {
      return;
    }
    retainAt = now();
    Optional<LeaseTable.State> state = link.state();
    LeaseTable.TaskLease duty = duty(state, RETENTION);
    if (duty == null) {
      return;
    }
    Retention before = folder().removal(duty.value());
    folder().remove(before);
    LeaseTable.TaskLease report = duty(state, REPORT);
    Retention next =
        before.next(
            duty.value(),
            token,
            folder().stock(report == null ? "" : report.value(), 2 * REMOVALS_MOST, this::ask),
            plan.keep(),
            REMOVALS_MOST);
    if (next.names().isEmpty()) {
      return;
    }
    CommandResult answer =
        call(holder.publish(RETENTION, duty.revision(), folder().write(next), now()));
    if (answer != null
        && answer.error() == null
        && holder.tokenIfHeld(RETENTION, now(), 0) == token) {
      LOG.info(
          "removed "
              + folder().remove(next)
              + " of "
              + next.names().size()
              + " files by list "
              + next.number());
      folder().tidy(next);
    }
  }
}
