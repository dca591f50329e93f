package standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A case: the link to one of six shard servers is cut for six seconds, twice. Queries of a keyed
 * table type are sent as the cut begins; each has one part. A part that runs twice, the second time
 * after the time for which repeats are dropped, has had its effect twice.
 */
final class CutLink implements ShardServer.Work {
  private static final int SERVERS = 6;
  private static final int CUT = 2;
  private static final int CUT_MS = 6000;
  private static final int WINDOW_MS = 4000;

  /** The page's 50 ms for every limit, and its 0.15 s for a router that was held up. */
  private static final int SLACK_MS = 50 + 150;

  private static final int WORK_MS = 30;

  private final Run run;
  private final ScheduledExecutorService workers = Executors.newScheduledThreadPool(4);

  /** When each part's effect took place first, by the part's id. */
  private final Map<String, Double> firstRun = new ConcurrentHashMap<>();

  private final Map<String, String> answers = new ConcurrentHashMap<>();
  private final List<String> broken = new ArrayList<>();

  private CutLink(Run run) {
    this.run = run;
  }

  public static void main(String[] args) {
    Run.main(args, run -> new CutLink(run).play());
  }

  /** A part runs when it arrives; a holder of the shard drops a repeat within the window. */
  @Override
  public synchronized void arrived(ShardServer.Part part) {
    double now = run.now();
    Double first = firstRun.putIfAbsent(part.id(), now);
    String did = "runs";
    if (first != null && now - first <= WINDOW_MS + SLACK_MS) {
      did = "is a repeat and dropped";
    } else if (first != null) {
      did = String.format("RUNS AGAIN, %.0f ms after the first time", now - first);
      broken.add(part.id() + " " + did);
    }
    run.note("%s at %s: d=%d, %s", part.id(), part.server().name, part.limitMs(), did);
    String value = ShardServer.value(part.id(), part.text());
    workers.schedule(() -> part.good(value), WORK_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void cancelled(ShardServer server, String id) {
    run.note("%s at %s: given up by the router; it runs on", id, server.name);
  }

  private int play() throws Exception {
    Discovery discovery = new Discovery(run);
    Map<Integer, Link> links = new LinkedHashMap<>();
    for (int i = 0; i < SERVERS; i++) {
      ShardServer server = new ShardServer(run, "s" + i, i, this);
      links.put(i, new Link(run, server.name, server.port()));
      discovery.put(server.name, links.get(i).port(), i, "Ready", 0);
    }
    discovery.start();
    Settings settings = new Settings();
    settings.services =
        Settings.service("delivery-confirm", 1500, 5000, 0.3, "idempotency_key", WINDOW_MS, 2);
    settings.floors = "[1.0]";
    settings.needs = "[1.0]";
    RouterProcess router =
        run.startRouter(
            "n0", Run.freePort(), discovery.port(), settings.json(discovery.list(true, 0)));
    router.awaitReady();
    for (int round = 0; round < 2; round++) {
      for (int i = 0; i < 24; i++) {
        ask(router, "warm" + round + "-" + i, i % SERVERS);
        Run.sleep(40);
      }
      Run.sleep(500);
      double cutAt = run.now();
      if (run.trouble) {
        links.get(CUT).cut();
      }
      Run.sleep(50);
      List<Thread> clients = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        String id = "cut" + round + "-" + i;
        // Server 2 holds the shards 0, 1 and 2, together with two other servers each.
        int shard = i % 3;
        Thread client = new Thread(() -> ask(router, id, shard));
        client.start();
        clients.add(client);
      }
      for (Thread client : clients) {
        client.join();
      }
      Run.sleep((long) (cutAt + CUT_MS - run.now()));
      if (run.trouble) {
        links.get(CUT).heal();
      }
      Run.sleep(1000);
    }
    workers.shutdownNow();
    long served = answers.values().stream().filter(a -> a.startsWith("200")).count();
    run.say("queries=%d served=%d", answers.size(), served);
    broken.forEach(line -> run.say("broken: %s", line));
    if (served < answers.size() / 2) {
      return Run.COULD_NOT_RUN;
    }
    return broken.isEmpty() ? Run.HELD : Run.BROKEN;
  }

  private void ask(RouterProcess router, String id, int shard) {
    String answer;
    try (Client client = new Client(router.port)) {
      run.note("%s asked: shard %d", id, shard);
      client.send(Client.query("delivery-confirm", id, 4000, shard));
      Client.Answer got = client.read(5000);
      answer = got.status() + " " + got.body();
    } catch (java.io.IOException fault) {
      answer = "no answer: " + fault.getMessage();
    }
    run.note("%s answered: %s", id, answer);
    answers.put(id, answer);
  }
}
