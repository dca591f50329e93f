package standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A case: clients send many requests at once on one connection, and read all that they are sent. A
 * request that the router has read has to get an answer of its own.
 */
final class ManyAtOnce implements ShardServer.Work {
  private static final int SERVERS = 6;
  private static final int AT_ONCE = 24;
  private final ScheduledExecutorService workers = Executors.newScheduledThreadPool(4);
  private final Run run;

  private ManyAtOnce(Run run) {
    this.run = run;
  }

  public static void main(String[] args) {
    Run.main(args, run -> new ManyAtOnce(run).play());
  }

  @Override
  public void arrived(ShardServer.Part part) {
    run.note("%s runs at %s", part.id(), part.server().name);
    String value = ShardServer.value(part.id(), part.text());
    workers.schedule(() -> part.good(value), 100, TimeUnit.MILLISECONDS);
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
    Run.sleep(1000);
    int lost = 0;
    int atOnce = run.trouble ? AT_ONCE : 1;
    for (int sent = 0, round = 0; sent < 5 * AT_ONCE; round++) {
      StringBuilder bytes = new StringBuilder();
      List<String> ids = new ArrayList<>();
      for (int i = 0; i < atOnce; i++, sent++) {
        ids.add("r" + round + "q" + i);
        bytes.append(Client.query("depot-manifest", ids.get(i), 5000, i % SERVERS));
      }
      run.note("sent at once: %s to %s", ids.get(0), ids.get(atOnce - 1));
      try (Client client = new Client(router.port)) {
        client.send(bytes.toString());
        String last = "";
        for (String id : ids) {
          try {
            Client.Answer answer = client.read(5500);
            last = answer.status() + " close=" + answer.close() + " " + answer.body();
            run.note("%s answered: %s", id, last);
          } catch (IOException fault) {
            lost++;
            run.note("%s LOST: %s", id, fault.getMessage());
          }
        }
      }
      Run.sleep(run.trouble ? 1000 : 20);
    }
    workers.shutdownNow();
    run.say("lost=%d of %d", lost, 5 * AT_ONCE);
    return lost > 0 ? Run.BROKEN : Run.HELD;
  }
}
