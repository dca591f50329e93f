package tidebank.testbed.replay;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.runtime.Clock;
import tidebank.testbed.account.QueryRecord;
import tidebank.testbed.account.RuleAudit;
import tidebank.testbed.account.ServiceScore;
import tidebank.testbed.deployment.Deployment;
import tidebank.testbed.emulator.DiscoveryEmulator;
import tidebank.testbed.emulator.DiscoveryEmulator.Health;
import tidebank.testbed.emulator.EmulatorLog;
import tidebank.testbed.emulator.ServerModel;
import tidebank.testbed.emulator.ShardServerEmulator;
import tidebank.testbed.emulator.SlotsModel;
import tidebank.testbed.trace.TraceRow;

/**
 * Plays rows through real gatherer processes on loopback, between clients, shard servers and
 * discovery that are stand-ins in this process, and accounts for what came of it.
 */
public final class Replay {
  private static final Logger LOG = LoggerFactory.getLogger(Replay.class);
  private static final long AUDIT_EVERY_MS = 20;
  private static final long LEAD_US = 200_000;

  /**
   * On loopback a thing that was written can be this much later at the other side, on a busy
   * machine.
   */
  private static final long SEND_SLACK_US = 100_000;

  private static final int SOCKETS = 1024;

  /**
   * What to play with.
   *
   * @param routers processes
   * @param servers stand-ins
   * @param seed of ids and chance
   * @param incidents what happens meanwhile
   * @param captureFolder where each gatherer records what it is told, in a folder of its own; null
   *     for nowhere
   * @param jvmFlags what the gatherers' JVMs are told beside the deployment's flags
   */
  public record Plan(
      Deployment deployment,
      int routers,
      int servers,
      long seed,
      List<Incident> incidents,
      Path captureFolder,
      List<String> jvmFlags) {
    public Plan(Deployment site, int gatherers, int servers, long seed, List<Incident> incidents) {
      this(site, gatherers, servers, seed, incidents, null, List.of());
    }

    public Plan withCaptureFolder(Path folder) {
      return new Plan(deployment, routers, servers, seed, incidents, folder, jvmFlags);
    }

    public Plan withJvmFlags(String... flags) {
      return new Plan(deployment, routers, servers, seed, incidents, captureFolder, List.of(flags));
    }
  }

  /** What came of it. */
  public record Outcome(
      ServiceScore.Summary scoreSummary,
      Map<Long, Double> serviceBySecond,
      Map<String, Double> serviceByClass,
      Map<String, Double> serviceByTenant,
      Map<Integer, Long> violationsByRule,
      List<RuleAudit.Violation> violations,
      long checkedQueries,
      long attempts,
      Histogram lateness,
      Histogram latency,
      Map<String, Integer> exitCodes,
      long sentQueries,
      double durationS) {
    public boolean hasNoViolations() {
      return violationsByRule.isEmpty();
    }
  }

  private final Plan plan;
  private final Consumer<QueryRecord> records;
  private final LongConsumer progress;
  private final ServiceScore account = new ServiceScore();
  private final List<RouterProcess> processes = new ArrayList<>();
  private final Map<String, Integer> exits = new TreeMap<>();
  private volatile boolean ending;
  private volatile LoadGenerator clients;

  /** Records are handed on as scans end, on an event loop; the progress is told the scans sent. */
  public Replay(Plan plan, Consumer<QueryRecord> records, LongConsumer progress) {
    this.plan = plan;
    this.records = records;
    this.progress = progress;
  }

  /** Ends a replay that is under way; what was sent so far is accounted for. */
  public void interrupt() {
    LoadGenerator running = clients;
    if (running != null) {
      running.stop();
    }
  }

  /** Ends all gatherers at once, whatever they hold. */
  public void kill() {
    ending = true;
    synchronized (processes) {
      processes.forEach(RouterProcess::close);
    }
  }

  /** Plays the rows to their end. */
  public Outcome run(Iterator<TraceRow> rows) throws IOException {
    Deployment site = plan.deployment();
    Clock clock = new Clock();
    EmulatorLog ledger = new EmulatorLog();
    RuleAudit audit =
        new RuleAudit(
            new RuleAudit.Settings(
                site.rules().answerSlackUs(),
                SEND_SLACK_US,
                site.rules().drainGraceUs(),
                site.rules().fallMultiple(),
                site.rules().fallAfterUs(),
                site.rules().freeFurther(),
                site.rules().furtherShare(),
                site.rules().furtherSpanUs()));
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            2, new DefaultThreadFactory("replay", true), NioIoHandler.newFactory());
    EventLoop front = group.next();
    EventLoop back = group.next();
    List<ShardServerEmulator> servers = new ArrayList<>();
    Thread onExit = new Thread(this::kill);
    Runtime.getRuntime().addShutdownHook(onExit);
    try {
      for (int i = 0; i < plan.servers(); i++) {
        ServerModel model =
            new SlotsModel(
                site.server().slots(),
                site.server().queue(),
                site.server().coldFrom(),
                site.server().warmUs());
        ShardServerEmulator server =
            new ShardServerEmulator(
                i, plan.servers(), plan.routers(), site, model, ledger, clock, back);
        server.open();
        servers.add(server);
      }
      DiscoveryEmulator discovery =
          new DiscoveryEmulator(servers, plan.routers(), ledger, clock, back);
      discovery.open();
      List<LoadGenerator.RouterEndpoint> targets = startGatherers(discovery);
      ClientRetryPolicy rules =
          new ClientRetryPolicy(site.clients().retries(), site.clients().waitUs(), plan.seed());
      LoadGenerator sender =
          new LoadGenerator(
              site,
              targets,
              rules,
              audit,
              clock,
              front,
              Long.toHexString(plan.seed()),
              record -> {
                account.add(record);
                records.accept(record);
              });
      long start = clock.now() + LEAD_US;
      front.scheduleAtFixedRate(
          () -> {
            ledger.drainTo(audit);
            audit.checkDueQueries(clock.now() - SEND_SLACK_US);
            progress.accept(sender.sentQueries());
          },
          AUDIT_EVERY_MS,
          AUDIT_EVERY_MS,
          TimeUnit.MILLISECONDS);
      clients = sender;
      CompletableFuture<Void> ended = sender.start(rows, start);
      Thread script =
          new Thread(
              () -> play(start, clock, servers, discovery, targets, audit, front, ended),
              "incidents");
      script.setDaemon(true);
      script.start();
      await(ended);
      double seconds = (clock.now() - start) / 1e6;
      // What was sent late is still on its way; the audit wants to see it.
      await(front.schedule(() -> null, SEND_SLACK_US + 100_000, TimeUnit.MICROSECONDS));
      front
          .submit(
              () -> {
                ledger.drainTo(audit);
                audit.checkDueQueries(Long.MAX_VALUE / 2);
              })
          .syncUninterruptibly();
      sender.close();
      stopGatherers();
      return new Outcome(
          account.summarize(),
          account.serviceBySecond(),
          account.serviceByClass(),
          account.serviceByTenant(),
          audit.countsByRule(),
          audit.violations(),
          audit.checkedQueries(),
          audit.attempts(),
          sender.lateness(),
          sender.latency(),
          exits,
          sender.sentQueries(),
          seconds);
    } finally {
      kill();
      try {
        Runtime.getRuntime().removeShutdownHook(onExit);
      } catch (IllegalStateException exiting) {
        // The process is on its way out, and the hook runs already.
      }
      ShardServerEmulator.closeAll(servers, group);
    }
  }

  private List<LoadGenerator.RouterEndpoint> startGatherers(DiscoveryEmulator discovery)
      throws IOException {
    List<RouterProcess> started = new ArrayList<>();
    for (int i = 0; i < plan.routers(); i++) {
      started.add(start(i, "127.0.0.1:0", discovery));
    }
    List<LoadGenerator.RouterEndpoint> targets = new ArrayList<>();
    for (int i = 0; i < started.size(); i++) {
      started.get(i).awaitReady();
      targets.add(new LoadGenerator.RouterEndpoint(i, started.get(i).awaitAddress()));
    }
    return targets;
  }

  private RouterProcess start(int number, String listen, DiscoveryEmulator discovery)
      throws IOException {
    String seed = String.format("%016x", plan.seed() * 31 + number);
    InetSocketAddress from = discovery.address(number);
    RouterProcess process =
        RouterProcess.start(
            "g" + number,
            plan.deployment()
                .routerConfigJson(
                    "g" + number,
                    listen,
                    "127.0.0.1:" + from.getPort(),
                    seed,
                    plan.routers(),
                    plan.servers(),
                    SOCKETS),
            own(number),
            plan.jvmFlags());
    synchronized (processes) {
      processes.add(process);
      if (ending) {
        process.close();
      }
    }
    return process;
  }

  /**
   * The operator's own file of a gatherer that records; one started anew goes on in the same
   * folder.
   */
  private Path own(int number) throws IOException {
    if (plan.captureFolder() == null) {
      return null;
    }
    Path folder = plan.captureFolder().toAbsolutePath().resolve("g" + number);
    Files.createDirectories(folder);
    return Files.writeString(
        folder.resolve("gatherer.toml"),
        "[capture]\nfolder = '" + folder + "'\nactions = \"whole\"\n");
  }

  private RouterProcess latest(int number) {
    synchronized (processes) {
      for (int i = processes.size() - 1; i >= 0; i--) {
        if (processes.get(i).name().equals("g" + number)) {
          return processes.get(i);
        }
      }
    }
    throw new IllegalArgumentException("no gatherer " + number);
  }

  private void play(
      long start,
      Clock clock,
      List<ShardServerEmulator> servers,
      DiscoveryEmulator discovery,
      List<LoadGenerator.RouterEndpoint> targets,
      RuleAudit audit,
      EventLoop front,
      CompletableFuture<Void> ended) {
    List<Incident> incidents = new ArrayList<>(plan.incidents());
    incidents.sort(Comparator.comparingLong(Incident::atUs));
    for (Incident incident : incidents) {
      long wait = start + incident.atUs() - clock.now();
      try {
        if (wait > 0) {
          ended.get(wait, TimeUnit.MICROSECONDS);
        }
        if (ended.isDone()) {
          return;
        }
      } catch (TimeoutException due) {
        // The usual way: it is time.
      } catch (ExecutionException | InterruptedException over) {
        return;
      }
      LOG.debug("incident: {} {}", incident.kind(), incident.index());
      try {
        happen(incident, clock, servers, discovery, targets, audit, front);
      } catch (IOException | RuntimeException fault) {
        ended.completeExceptionally(fault);
        return;
      }
    }
  }

  private void happen(
      Incident incident,
      Clock clock,
      List<ShardServerEmulator> servers,
      DiscoveryEmulator discovery,
      List<LoadGenerator.RouterEndpoint> targets,
      RuleAudit audit,
      EventLoop front)
      throws IOException {
    int number = incident.index();
    switch (incident.kind()) {
      case SERVER_DRAINS -> {
        discovery.updateServer(number, Health.Terminating, 0);
        servers.get(number).drain();
      }
      case SERVER_DIES -> servers.get(number).kill();
      case ROSTER_GONE -> discovery.updateServer(number, Health.Gone, 0);
      case SERVER_BACK -> {
        servers.get(number).restart();
        discovery.updateServer(number, Health.Ready, clock.now() / 1000);
      }
      case SERVER_SILENT -> servers.get(number).setSilent(true);
      case SERVER_SPEAKS -> servers.get(number).setSilent(false);
      case GATHERER_KILLED, GATHERER_RESTARTED -> {
        RouterProcess old = latest(number);
        LoadGenerator.RouterEndpoint target = targets.get(number);
        if (incident.kind() == Incident.Kind.GATHERER_KILLED) {
          old.kill();
          front.execute(() -> audit.recordRouterExit(number));
          target.available = false;
          old.waitFor(2000);
        } else {
          target.available = false;
          old.terminate();
          exits.put("g" + number + " restarted", old.waitFor(10_000));
        }
        RouterProcess fresh = start(number, "127.0.0.1:" + target.address.getPort(), discovery);
        fresh.awaitReady();
        target.address = fresh.awaitAddress();
        target.available = true;
      }
    }
  }

  /** SIGTERM to all; each has the time that the platform gives. */
  private void stopGatherers() {
    List<RouterProcess> all;
    synchronized (processes) {
      all = new ArrayList<>(processes);
    }
    List<RouterProcess> alive = all.stream().filter(RouterProcess::isAlive).toList();
    alive.forEach(RouterProcess::terminate);
    for (RouterProcess process : alive) {
      int code = process.waitFor(10_000);
      exits.put(process.name(), code);
      if (code != 0) {
        LOG.warn(
            "gatherer {} ended with {}; it said last:\n{}",
            process.name(),
            code,
            process.lastLines());
      }
    }
  }

  private static void await(java.util.concurrent.Future<?> future) throws IOException {
    try {
      future.get();
    } catch (ExecutionException fault) {
      Throwable cause = fault.getCause();
      throw cause instanceof IOException io ? io : new IOException(String.valueOf(cause), cause);
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    }
  }
}
