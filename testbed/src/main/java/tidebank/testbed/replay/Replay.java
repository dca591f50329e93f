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
 * A replay of a trace against router processes on loopback. Clients, shard servers and discovery
 * are emulated in this process. The replay audits the rules and computes the score.
 */
public final class Replay {
  private static final Logger LOG = LoggerFactory.getLogger(Replay.class);
  private static final long AUDIT_INTERVAL_MS = 20;
  private static final long START_DELAY_US = 200_000;

  /** How late a message on loopback may be received on a busy machine. */
  private static final long DELIVERY_SLACK_US = 100_000;

  private static final int MAX_ROUTER_SOCKETS = 1024;

  /**
   * The setup of a replay.
   *
   * @param routers number of router processes
   * @param servers number of emulated shard servers
   * @param seed seed of the correlation IDs and the random choices
   * @param incidents the incidents to inject
   * @param captureFolder the folder in which each router writes its capture, in a subfolder of its
   *     own; null for no captures
   * @param jvmFlags further JVM flags of the routers
   */
  public record Plan(
      Deployment deployment,
      int routers,
      int servers,
      long seed,
      List<Incident> incidents,
      Path captureFolder,
      List<String> jvmFlags) {
    /** Creates a plan without captures and without further JVM flags. */
    public Plan(
        Deployment deployment, int routers, int servers, long seed, List<Incident> incidents) {
      this(deployment, routers, servers, seed, incidents, null, List.of());
    }

    /** Returns a copy in which the routers write captures below the folder. */
    public Plan withCaptureFolder(Path folder) {
      return new Plan(deployment, routers, servers, seed, incidents, folder, jvmFlags);
    }

    /** Returns a copy with these further JVM flags. */
    public Plan withJvmFlags(String... flags) {
      return new Plan(deployment, routers, servers, seed, incidents, captureFolder, List.of(flags));
    }
  }

  /**
   * The result of a replay.
   *
   * @param serviceBySecond service by second of the run, NaN if the queries have no benefit
   * @param violationsByRule number of violations by the rule's number
   * @param violations the first violations
   * @param checkedQueries number of client attempts that the audit checked
   * @param attempts number of attempts that arrived at shard servers
   * @param lateness times from the intended time to sending, in microseconds
   * @param latency times from the intended time to the response, in microseconds
   * @param exitCodes exit codes of the routers by name; those of restarts have the suffix "
   *     restarted"
   * @param sentQueries number of queries sent, without retries
   */
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
    /** Returns whether all rules were kept. */
    public boolean hasNoViolations() {
      return violationsByRule.isEmpty();
    }
  }

  private final Plan plan;
  private final Consumer<QueryRecord> records;
  private final LongConsumer progress;
  private final ServiceScore score = new ServiceScore();
  private final List<RouterProcess> processes = new ArrayList<>();
  private final Map<String, Integer> exitCodes = new TreeMap<>();
  private volatile boolean killed;
  private volatile LoadGenerator loadGenerator;

  /**
   * Creates a replay.
   *
   * @param records receives the result of each query, on an event loop
   * @param progress receives the number of queries sent so far, regularly, on an event loop
   */
  public Replay(Plan plan, Consumer<QueryRecord> records, LongConsumer progress) {
    this.plan = plan;
    this.records = records;
    this.progress = progress;
  }

  /** Stops a running replay; its outcome covers the queries that have ended by then. */
  public void interrupt() {
    LoadGenerator running = loadGenerator;
    if (running != null) {
      running.stop();
    }
  }

  /** Kills all routers at once, with their open queries. */
  public void kill() {
    killed = true;
    synchronized (processes) {
      processes.forEach(RouterProcess::close);
    }
  }

  /**
   * Replays all rows of a trace.
   *
   * @throws IOException if a router can't be started, the trace can't be read or names an unknown
   *     query class, or the thread is interrupted
   */
  public Outcome run(Iterator<TraceRow> rows) throws IOException {
    Deployment deployment = plan.deployment();
    Clock clock = new Clock();
    EmulatorLog emulatorLog = new EmulatorLog();
    RuleAudit audit =
        new RuleAudit(
            new RuleAudit.Settings(
                deployment.rules().answerSlackUs(),
                DELIVERY_SLACK_US,
                deployment.rules().drainGraceUs(),
                deployment.rules().fallMultiple(),
                deployment.rules().fallAfterUs(),
                deployment.rules().freeFurther(),
                deployment.rules().furtherShare(),
                deployment.rules().furtherSpanUs()));
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            2, new DefaultThreadFactory("replay", true), NioIoHandler.newFactory());
    EventLoop clientLoop = group.next();
    EventLoop serverLoop = group.next();
    List<ShardServerEmulator> servers = new ArrayList<>();
    Thread shutdownHook = new Thread(this::kill);
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    try {
      for (int i = 0; i < plan.servers(); i++) {
        ServerModel model =
            new SlotsModel(
                deployment.server().slots(),
                deployment.server().queue(),
                deployment.server().coldFrom(),
                deployment.server().warmUs());
        ShardServerEmulator server =
            new ShardServerEmulator(
                i,
                plan.servers(),
                plan.routers(),
                deployment,
                model,
                emulatorLog,
                clock,
                serverLoop);
        server.open();
        servers.add(server);
      }
      DiscoveryEmulator discovery =
          new DiscoveryEmulator(servers, plan.routers(), emulatorLog, clock, serverLoop);
      discovery.open();
      List<LoadGenerator.RouterEndpoint> routers = startRouters(discovery);
      ClientRetryPolicy retryPolicy =
          new ClientRetryPolicy(
              deployment.clients().retries(), deployment.clients().waitUs(), plan.seed());
      LoadGenerator generator =
          new LoadGenerator(
              deployment,
              routers,
              retryPolicy,
              audit,
              clock,
              clientLoop,
              Long.toHexString(plan.seed()),
              record -> {
                score.add(record);
                records.accept(record);
              });
      long start = clock.now() + START_DELAY_US;
      clientLoop.scheduleAtFixedRate(
          () -> {
            emulatorLog.drainTo(audit);
            audit.checkDueQueries(clock.now() - DELIVERY_SLACK_US);
            progress.accept(generator.sentQueries());
          },
          AUDIT_INTERVAL_MS,
          AUDIT_INTERVAL_MS,
          TimeUnit.MILLISECONDS);
      loadGenerator = generator;
      CompletableFuture<Void> done = generator.start(rows, start);
      Thread incidentThread =
          new Thread(
              () ->
                  runIncidents(start, clock, servers, discovery, routers, audit, clientLoop, done),
              "incidents");
      incidentThread.setDaemon(true);
      incidentThread.start();
      awaitDone(done);
      double durationS = (clock.now() - start) / 1e6;
      // Lets messages that are still on their way arrive, so that the audit sees them.
      awaitDone(
          clientLoop.schedule(() -> null, DELIVERY_SLACK_US + 100_000, TimeUnit.MICROSECONDS));
      clientLoop
          .submit(
              () -> {
                emulatorLog.drainTo(audit);
                audit.checkDueQueries(Long.MAX_VALUE / 2);
              })
          .syncUninterruptibly();
      generator.close();
      stopRouters();
      return new Outcome(
          score.summarize(),
          score.serviceBySecond(),
          score.serviceByClass(),
          score.serviceByTenant(),
          audit.countsByRule(),
          audit.violations(),
          audit.checkedQueries(),
          audit.attempts(),
          generator.lateness(),
          generator.latency(),
          exitCodes,
          generator.sentQueries(),
          durationS);
    } finally {
      kill();
      try {
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
      } catch (IllegalStateException exiting) {
        // The JVM is shutting down, and the hook runs already.
      }
      ShardServerEmulator.closeAll(servers, group);
    }
  }

  private List<LoadGenerator.RouterEndpoint> startRouters(DiscoveryEmulator discovery)
      throws IOException {
    List<RouterProcess> started = new ArrayList<>();
    for (int i = 0; i < plan.routers(); i++) {
      started.add(startRouter(i, "127.0.0.1:0", discovery));
    }
    List<LoadGenerator.RouterEndpoint> routers = new ArrayList<>();
    for (int i = 0; i < started.size(); i++) {
      started.get(i).awaitReady();
      routers.add(new LoadGenerator.RouterEndpoint(i, started.get(i).awaitAddress()));
    }
    return routers;
  }

  private RouterProcess startRouter(int index, String listen, DiscoveryEmulator discovery)
      throws IOException {
    String seed = String.format("%016x", plan.seed() * 31 + index);
    InetSocketAddress discoveryAddress = discovery.address(index);
    RouterProcess process =
        RouterProcess.start(
            "g" + index,
            plan.deployment()
                .routerConfigJson(
                    "g" + index,
                    listen,
                    "127.0.0.1:" + discoveryAddress.getPort(),
                    seed,
                    plan.routers(),
                    plan.servers(),
                    MAX_ROUTER_SOCKETS),
            writeOperatorFile(index),
            plan.jvmFlags());
    synchronized (processes) {
      processes.add(process);
      if (killed) {
        process.close();
      }
    }
    return process;
  }

  /**
   * Writes the operator's configuration file of a router that writes a capture. A restarted router
   * uses the same folder.
   *
   * @return the file, or null if the plan has no captures
   */
  private Path writeOperatorFile(int index) throws IOException {
    if (plan.captureFolder() == null) {
      return null;
    }
    Path folder = plan.captureFolder().toAbsolutePath().resolve("g" + index);
    Files.createDirectories(folder);
    return Files.writeString(
        folder.resolve("gatherer.toml"),
        "[capture]\nfolder = '" + folder + "'\nactions = \"whole\"\n");
  }

  private RouterProcess findLatestProcess(int index) {
    synchronized (processes) {
      for (int i = processes.size() - 1; i >= 0; i--) {
        if (processes.get(i).name().equals("g" + index)) {
          return processes.get(i);
        }
      }
    }
    throw new IllegalArgumentException("router g" + index + " was not started");
  }

  private void runIncidents(
      long start,
      Clock clock,
      List<ShardServerEmulator> servers,
      DiscoveryEmulator discovery,
      List<LoadGenerator.RouterEndpoint> routers,
      RuleAudit audit,
      EventLoop clientLoop,
      CompletableFuture<Void> done) {
    List<Incident> incidents = new ArrayList<>(plan.incidents());
    incidents.sort(Comparator.comparingLong(Incident::atUs));
    for (Incident incident : incidents) {
      long wait = start + incident.atUs() - clock.now();
      try {
        if (wait > 0) {
          done.get(wait, TimeUnit.MICROSECONDS);
        }
        if (done.isDone()) {
          return;
        }
      } catch (TimeoutException incidentDue) {
        // The incident's time has come before the replay ended.
      } catch (ExecutionException | InterruptedException stopped) {
        return;
      }
      LOG.debug("incident injected: kind={} index={}", incident.kind(), incident.number());
      try {
        inject(incident, clock, servers, discovery, routers, audit, clientLoop);
      } catch (IOException | RuntimeException fault) {
        done.completeExceptionally(fault);
        return;
      }
    }
  }

  private void inject(
      Incident incident,
      Clock clock,
      List<ShardServerEmulator> servers,
      DiscoveryEmulator discovery,
      List<LoadGenerator.RouterEndpoint> routers,
      RuleAudit audit,
      EventLoop clientLoop)
      throws IOException {
    int index = incident.number();
    switch (incident.kind()) {
      case SERVER_DRAINS -> {
        discovery.updateServer(index, Health.Terminating, 0);
        servers.get(index).drain();
      }
      case SERVER_DIES -> servers.get(index).kill();
      case ROSTER_GONE -> discovery.updateServer(index, Health.Gone, 0);
      case SERVER_BACK -> {
        servers.get(index).restart();
        discovery.updateServer(index, Health.Ready, clock.now() / 1000);
      }
      case SERVER_SILENT -> servers.get(index).setSilent(true);
      case SERVER_SPEAKS -> servers.get(index).setSilent(false);
      case GATHERER_KILLED, GATHERER_RESTARTED -> {
        RouterProcess oldProcess = findLatestProcess(index);
        LoadGenerator.RouterEndpoint router = routers.get(index);
        if (incident.kind() == Incident.Kind.GATHERER_KILLED) {
          oldProcess.kill();
          clientLoop.execute(() -> audit.recordRouterExit(index));
          router.available = false;
          oldProcess.waitFor(2000);
        } else {
          router.available = false;
          oldProcess.terminate();
          exitCodes.put("g" + index + " restarted", oldProcess.waitFor(10_000));
        }
        RouterProcess newProcess =
            startRouter(index, "127.0.0.1:" + router.address.getPort(), discovery);
        newProcess.awaitReady();
        router.address = newProcess.awaitAddress();
        router.available = true;
      }
    }
  }

  /** Sends SIGTERM to all running routers and waits up to 10 s for each to exit. */
  private void stopRouters() {
    List<RouterProcess> all;
    synchronized (processes) {
      all = new ArrayList<>(processes);
    }
    List<RouterProcess> alive = all.stream().filter(RouterProcess::isAlive).toList();
    alive.forEach(RouterProcess::terminate);
    for (RouterProcess process : alive) {
      int code = process.waitFor(10_000);
      exitCodes.put(process.name(), code);
      if (code != 0) {
        LOG.warn(
            "router failed: name={} exit_code={} output:\n{}",
            process.name(),
            code,
            process.lastLines());
      }
    }
  }

  private static void awaitDone(java.util.concurrent.Future<?> future) throws IOException {
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
