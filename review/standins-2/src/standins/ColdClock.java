package standins;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A case: the wall clock that all machines read is stepped back by an hour while the routers run.
 * Later one of six shard servers restarts, cold. It falls over if it is sent more than the rule
 * allows.
 */
final class ColdClock implements ShardServer.Work {
  private static final int ROUTERS = 20;
  private static final int SERVERS = 6;
  private static final int RESTARTED = 2;
  private static final int CORES = 2;
  private static final double WORK_MS = 20;
  private static final double COLD_FROM = 0.15;
  private static final int COLD_MS = 16_000;
  private static final double MULTIPLE = 2;
  private static final int WINDOW_MS = 1000;
  private static final int QUERIES_PER_S = 180;
  private static final int RUN_MS = 8000;

  private final ScheduledExecutorService workers = Executors.newScheduledThreadPool(8);
  private final Run run;
  private final double[] freeAt = new double[SERVERS];
  private final Deque<Double> recent = new ArrayDeque<>();
  private double restartedAt = -1;
  private double fellAt = -1;
  private double worst;
  private String worstText = "";
  private int served;
  private int asked;

  private ColdClock(Run run) {
    this.run = run;
  }

  public static void main(String[] args) {
    Run.main(args, run -> new ColdClock(run).play());
  }

  /** The share of its capacity that the restarted server has, which rises evenly. */
  private double share(int position, double now) {
    return position != RESTARTED || restartedAt < 0
        ? 1
        : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (now - restartedAt) / COLD_MS);
  }

  @Override
  public synchronized void arrived(ShardServer.Part part) {
    double now = run.now();
    int position = part.server().position;
    double share = share(position, now);
    if (share < 1 && count(now, share, part)) {
      return;
    }
    double rate = share * CORES / WORK_MS;
    freeAt[position] = Math.max(freeAt[position], now) + 1 / rate;
    // Two cores take turns here; a part takes its work at the least.
    double doneAt = Math.max(freeAt[position], now + WORK_MS / share);
    if (doneAt - now > 2000) {
      part.later();
      return;
    }
    String value = ShardServer.value(part.id(), part.text());
    workers.schedule(() -> part.good(value), (long) (doneAt - now), TimeUnit.MILLISECONDS);
  }

  /** Counts an arrival at the cold server, and returns whether it has fallen. */
  private boolean count(double now, double share, ShardServer.Part part) {
    recent.addLast(now);
    while (recent.peekFirst() <= now - WINDOW_MS) {
      recent.removeFirst();
    }
    double n = MULTIPLE * share * CORES * WINDOW_MS / WORK_MS;
    double allowed = n < 30 ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
    if (recent.size() / allowed > worst) {
      worst = recent.size() / allowed;
      worstText =
          String.format(
              "%d in 1 s, allowed %.1f, %.0f ms after the start",
              recent.size(), allowed, now - restartedAt);
    }
    if (fellAt < 0 && recent.size() > allowed) {
      fellAt = now;
      run.note("the cold server falls: %s", worstText);
      try {
        part.server().die();
      } catch (IOException closed) {
        run.note("%s", closed);
      }
    }
    return fellAt >= 0;
  }

  private int play() throws Exception {
    Discovery discovery = new Discovery(run);
    List<ShardServer> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      ShardServer server = new ShardServer(run, "s" + i, i, this);
      servers.add(server);
      discovery.put(server.name, server.port(), i, "Ready", 0);
    }
    discovery.start();
    Settings settings = new Settings();
    settings.instances = ROUTERS;
    settings.services = Settings.service("depot-manifest", 500, 1500, 0.1, "read_like", 5000, 1);
    settings.floors = "[1.0]";
    settings.needs = "[1.0]";
    settings.guarantees =
        "{\"answerSlackMs\": 20.0, \"askEveryMs\": 10000.0, \"coldFrom\": 0.15, \"coldMs\": 16000.0,"
            + " \"fallMultiple\": 2.0, \"stopSendingWithinMs\": 2000.0, \"tipAfterMs\": 1000.0}";
    List<RouterProcess> routers = new ArrayList<>();
    for (int i = 0; i < ROUTERS; i++) {
      settings.rank = i;
      routers.add(
          run.startRouter(
              "n" + i, Run.freePort(), discovery.port(), settings.json(discovery.list(true, 0))));
    }
    for (RouterProcess router : routers) {
      router.awaitReady();
    }
    double startedAt = run.now();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < ROUTERS; i++) {
      RouterProcess router = routers.get(i);
      int number = i;
      for (int k = 0; k < 6; k++) {
        int lane = k;
        Thread client =
            new Thread(() -> ask(router, number + "-" + lane, startedAt, new Random(number * 6L + lane)));
        client.start();
        clients.add(client);
      }
    }
    Run.sleep(5000);
    ShardServer restarted = servers.get(RESTARTED);
    run.note("%s dies", restarted.name);
    restarted.die();
    discovery.put(restarted.name, restarted.port(), RESTARTED, "Gone", 0);
    Run.sleep(5000);
    synchronized (this) {
      restartedAt = run.now();
    }
    restarted.open();
    long wall = System.currentTimeMillis();
    // What the clock of all machines shows: stepped back by an hour, or not.
    long shown = run.trouble ? wall - 3_600_000 : wall;
    discovery.put(restarted.name, restarted.port(), RESTARTED, "Ready", shown);
    Run.sleep(RUN_MS);
    for (Thread client : clients) {
      client.interrupt();
    }
    for (Thread client : clients) {
      client.join();
    }
    workers.shutdownNow();
    run.say("asked=%d served=%d worst window: %s", asked, served, worstText);
    if (served < asked / 2) {
      return Run.COULD_NOT_RUN;
    }
    run.say(fellAt < 0 ? "the cold server stayed up" : "the cold server was pushed over");
    return fellAt < 0 ? Run.HELD : Run.BROKEN;
  }

  /** Asks again and again, three parts each time, at a mean rate, until it is interrupted. */
  private void ask(RouterProcess router, String lane, double startedAt, Random random) {
    double meanMs = 1000.0 * ROUTERS * 6 / QUERIES_PER_S;
    double next = run.now();
    int count = 0;
    while (!Thread.currentThread().isInterrupted()) {
      next += -Math.log(1 - random.nextDouble()) * meanMs;
      try {
        Thread.sleep((long) Math.max(0, next - run.now()));
        try (Client client = new Client(router.port)) {
          int shard = random.nextInt(SERVERS);
          synchronized (this) {
            asked++;
          }
          client.send(
              Client.query(
                  "depot-manifest",
                  "q" + lane + "-" + count++,
                  1500,
                  shard,
                  (shard + 1) % SERVERS,
                  (shard + 2) % SERVERS));
          if (client.read(3000).status() == 200) {
            synchronized (this) {
              served++;
            }
          }
        }
      } catch (InterruptedException stopped) {
        return;
      } catch (IOException fault) {
        run.note("no answer: %s", fault.getMessage());
      }
    }
  }
}
