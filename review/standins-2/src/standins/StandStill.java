package standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A case: one of two routers stands still for a while, and requests arrive meanwhile, on connections
 * that its clients keep. One of six shard servers takes parts and answers none. Each request needs
 * its final answer at most half a second after its time.
 */
final class StandStill implements ShardServer.Work {
  private static final int SERVERS = 6;
  private static final int CLIENTS = 8;
  private static final int ROUNDS = 4;
  private static final int QUIET_MS = 2500;
  private static final int STILL_MS = 1150;
  private static final int MUTE_MS = 10_000;
  private static final int TIME_LEFT_MS = 4000;
  private static final int SLACK_MS = 500 + 50;

  private final ScheduledExecutorService workers = Executors.newScheduledThreadPool(4);
  private final Run run;
  private final List<String> broken = new ArrayList<>();
  private final Set<String> hurt = ConcurrentHashMap.newKeySet();
  private volatile boolean silent;

  private StandStill(Run run) {
    this.run = run;
  }

  public static void main(String[] args) {
    Run.main(args, run -> new StandStill(run).play());
  }

  @Override
  public void arrived(ShardServer.Part part) {
    boolean mute = silent && part.server().position == 2;
    run.note(
        "%s at %s: d=%d%s", part.id(), part.server().name, part.limitMs(), mute ? ", mute" : "");
    if (mute) {
      hurt.add(part.id());
      return;
    }
    String value = ShardServer.value(part.id(), part.text());
    workers.schedule(() -> part.good(value), 60, TimeUnit.MILLISECONDS);
  }

  private int play() throws Exception {
    Discovery discovery = new Discovery(run);
    for (int i = 0; i < SERVERS; i++) {
      ShardServer server = new ShardServer(run, "s" + i, i, this);
      discovery.put(server.name, server.port(), i, "Ready", 0);
    }
    discovery.start();
    RouterProcess router =
        run.startRouter(
            "n0", Run.freePort(), discovery.port(), new Settings().json(discovery.list(true, 0)));
    router.awaitReady();
    // The other one of two, which never stands still.
    RouterProcess other =
        run.startRouter(
            "n1", Run.freePort(), discovery.port(), new Settings().json(discovery.list(true, 0)));
    other.awaitReady();
    Run.sleep(1000);
    for (int round = 0; round < ROUNDS; round++) {
      List<Client> clients = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        clients.add(new Client(router.port));
      }
      // All clients keep their connection from here on. What they ask may run again, so that the
      // mute server of the round before gets its share again.
      for (int i = 0; i < 10 * CLIENTS; i++) {
        ask(clients.get(i % CLIENTS), "warm" + round + "-" + i, "depot-manifest", i % SERVERS);
      }
      silent = true;
      Run.sleep(QUIET_MS);
      if (run.trouble) {
        router.signal("STOP");
      }
      double stoppedAt = run.now();
      Run.sleep(20);
      List<Thread> waiting = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        String id = "r" + round + "q" + i;
        Client client = clients.get(i);
        int shard = i % 3;
        Thread thread = new Thread(() -> ask(client, id, "delivery-confirm", shard));
        thread.start();
        waiting.add(thread);
      }
      Run.sleep((long) (stoppedAt + STILL_MS - run.now()));
      if (run.trouble) {
        router.signal("CONT");
      }
      for (Thread thread : waiting) {
        thread.join();
      }
      Run.sleep((long) (stoppedAt + MUTE_MS - QUIET_MS - run.now()));
      silent = false;
      for (Client client : clients) {
        client.close();
      }
    }
    workers.shutdownNow();
    broken.forEach(line -> run.say("broken: %s", line));
    run.say("lost=%d, parts at the mute server=%d", broken.size(), hurt.size());
    return broken.isEmpty() ? Run.HELD : Run.BROKEN;
  }

  private void ask(Client client, String id, String table, int shard) {
    double sent = run.now();
    String answer;
    try {
      client.send(Client.query(table, id, TIME_LEFT_MS, shard));
      run.note("%s asked: shard %d", id, shard);
      answer = "" + client.read(TIME_LEFT_MS + 3000).status();
    } catch (IOException fault) {
      answer = "no answer: " + fault.getMessage();
    }
    double late = run.now() - sent - TIME_LEFT_MS;
    run.note("%s answered: %s, %.0f ms after its time", id, answer, late);
    if (late > SLACK_MS || answer.startsWith("no")) {
      synchronized (this) {
        broken.add(id + " " + answer + " " + Math.round(late) + " ms after its time");
      }
    }
  }
}
