package standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A case: some hundred clients write a request slowly, stop in the middle of its body and stay; as
 * soon as they are turned away they come again. A few sound clients ask meanwhile and need their
 * final answers.
 */
final class StoppedClients implements ShardServer.Work {
  private static final int SERVERS = 6;
  private static final int STOPPING = 320;
  private static final int BODY = 60_000;
  private static final int PIECE = 500;
  private static final int WRITE_MS = 2000;
  private static final int TROUBLE_MS = 15_000;
  private static final int TIME_LEFT_MS = 5000;
  private static final int SLACK_MS = 500 + 50;

  private final ScheduledExecutorService workers = Executors.newScheduledThreadPool(4);
  private final Run run;
  private final List<String> broken = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger asked = new AtomicInteger();
  private final Map<String, AtomicInteger> turnedAway = new ConcurrentSkipListMap<>();
  private final AtomicBoolean over = new AtomicBoolean();

  private StoppedClients(Run run) {
    this.run = run;
  }

  public static void main(String[] args) {
    Run.main(args, run -> new StoppedClients(run).play());
  }

  @Override
  public void arrived(ShardServer.Part part) {
    String value = ShardServer.value(part.id(), part.text());
    workers.schedule(() -> part.good(value), 50, TimeUnit.MILLISECONDS);
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
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      int lane = i;
      clients.add(new Thread(() -> soundClient(router, lane)));
    }
    for (int i = 0; run.trouble && i < STOPPING; i++) {
      int lane = i;
      clients.add(new Thread(() -> stoppingClient(router, lane)));
    }
    clients.forEach(Thread::start);
    Run.sleep(TROUBLE_MS);
    over.set(true);
    run.note("no client comes again from now on");
    for (Thread client : clients) {
      client.join();
    }
    workers.shutdownNow();
    run.say("stopping clients: %s, router alive=%b", turnedAway, router.isAlive());
    broken.stream().limit(20).forEach(line -> run.say("broken: %s", line));
    run.say("asked=%d lost=%d", asked.get(), broken.size());
    return broken.isEmpty() ? Run.HELD : Run.BROKEN;
  }

  /** Asks once a second, on a connection that it keeps while all goes well. */
  private void soundClient(RouterProcess router, int lane) {
    Client client = null;
    for (int i = 0; !over.get(); i++) {
      Run.sleep(i == 0 ? 100L * lane : 1000);
      String id = "q" + lane + "-" + i;
      double sent = run.now();
      String answer;
      try {
        client = client == null ? new Client(router.port) : client;
        sent = run.now();
        client.send(Client.query("depot-manifest", id, TIME_LEFT_MS, lane % SERVERS));
        asked.incrementAndGet();
        Client.Answer got = client.read(TIME_LEFT_MS + 2000);
        answer = Integer.toString(got.status());
        if (got.close()) {
          client.close();
          client = null;
        }
      } catch (IOException fault) {
        answer = "no answer: " + fault.getMessage();
        close(client);
        client = null;
      }
      double late = run.now() - sent - TIME_LEFT_MS;
      run.note("%s answered: %s, %.0f ms after its time", id, answer, late);
      if (late > SLACK_MS) {
        broken.add(String.format("%s %s, %.0f ms after its time", id, answer, late));
      }
    }
    close(client);
  }

  /** Writes most of a request in pieces, stops, and waits for its error or the close. */
  private void stoppingClient(RouterProcess router, int lane) {
    String body = "{\"ranges\":[{\"range\":1,\"portion\":1.0}],\"predicate\":\"" + "p".repeat(BODY);
    for (int i = 0; !over.get(); i++) {
      String out;
      try (Client client = new Client(router.port)) {
        client.send(
            "POST /depot-manifest HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: b"
                + lane
                + "-"
                + i
                + "\r\nX-Account: kerloch\r\nX-Time-Left: 5000m\r\nContent-Length: "
                + (body.length() + 2)
                + "\r\n\r\n");
        double begun = run.now();
        for (int at = 0; at < body.length(); at += PIECE) {
          client.send(body.substring(at, Math.min(body.length(), at + PIECE)));
          Run.sleep((long) (begun + (double) WRITE_MS * at / body.length() - run.now()));
        }
        out = Integer.toString(client.read(5000).status());
      } catch (IOException fault) {
        out = String.valueOf(fault.getMessage());
        Run.sleep(50);
      }
      turnedAway.computeIfAbsent(out, absent -> new AtomicInteger()).incrementAndGet();
    }
  }

  private static void close(Client client) {
    try {
      if (client != null) {
        client.close();
      }
    } catch (IOException closed) {
      // Already closed.
    }
  }
}
