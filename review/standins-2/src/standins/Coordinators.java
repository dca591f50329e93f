package standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A case: one of three coordinators is killed, and started again with its folder after the others
 * have worked on. Then another one is killed. Two of three run, so the duty has to pass on.
 */
final class Coordinators {
  private static final int COUNT = 3;
  private static final int PUBLISHED = 1500;
  private static final int WAIT_MS = 30_000;
  private static final Pattern TOKEN = Pattern.compile("\"token\":(\\d+)");

  private final Run run;
  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(Duration.ofMillis(1000)).build();
  private final int[] httpPorts = new int[COUNT];
  private final Process[] processes = new Process[COUNT];
  private int current;

  private Coordinators(Run run) {
    this.run = run;
  }

  public static void main(String[] args) {
    Run.main(args, run -> new Coordinators(run).play());
  }

  /** A member's session, or an operator's. */
  private final class Session {
    private final String name;
    private final String session;
    private long number;

    Session(String name) {
      this.name = name;
      session = name + "-" + System.nanoTime();
    }

    /** Sends one command, again and again, until it is answered; null if it is not in time. */
    String send(String kind, String more, int waitMs) throws InterruptedException {
      String body =
          String.format(
              "{\"kind\":\"%s\",\"session\":\"%s\",\"number\":%d,\"name\":\"%s\"%s}",
              kind, session, ++number, name, more);
      double until = run.now() + waitMs;
      while (run.now() < until) {
        String answer = call("/fleet/command", body);
        if (answer != null) {
          return answer;
        }
        Run.sleep(50);
      }
      return null;
    }
  }

  /** Returns the body of an answer with 200, or null; the next call then goes elsewhere. */
  private String call(String path, String body) throws InterruptedException {
    try {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + httpPorts[current] + path))
              .timeout(Duration.ofMillis(3000));
      HttpResponse<String> response =
          http.send(
              (body == null ? request : request.POST(HttpRequest.BodyPublishers.ofString(body)))
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      if (response.statusCode() == 200) {
        return response.body();
      }
      current = (current + 1) % COUNT;
      String leader = response.headers().firstValue("Location").orElse("");
      for (int i = 0; i < COUNT; i++) {
        current = leader.endsWith(":" + httpPorts[i]) ? i : current;
      }
    } catch (IOException fault) {
      current = (current + 1) % COUNT;
    }
    return null;
  }

  private void start(int number) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
            run.root.resolve("bin/tidebank").toString(),
            "coordinator",
            "--config",
            run.temp.resolve("s" + number + ".toml").toString());
    builder.directory(run.root.toFile());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(run.temp.resolve("s" + number + ".log").toFile()));
    processes[number] = builder.start();
    run.addProcess(processes[number]);
    run.note("coordinator s%d started, pid %d", number, processes[number].pid());
  }

  private void kill(int number) throws InterruptedException {
    run.note("SIGKILL to coordinator s%d", number);
    processes[number].destroyForcibly().waitFor(5, TimeUnit.SECONDS);
  }

  private void writeConfigurations() throws IOException {
    StringBuilder peers = new StringBuilder();
    for (int i = 0; i < COUNT; i++) {
      httpPorts[i] = Run.freePort();
      peers.append(
          String.format(
              "[[peers]]%nname = \"s%d\"%nraft = \"127.0.0.1:%d\"%nhttp = \"127.0.0.1:%d\"%n",
              i, Run.freePort(), httpPorts[i]));
    }
    for (int i = 0; i < COUNT; i++) {
      Path folder = run.temp.resolve("steward-s" + i);
      Files.writeString(
          run.temp.resolve("s" + i + ".toml"),
          "name = \"s"
              + i
              + "\"\nfolder = \""
              + folder
              + "\"\n"
              + peers
              + "[lease]\nms = 3000\n[duties]\nnames = [\"report\"]\n[snapshot]\nevery = 500\n");
    }
  }

  private int play() throws Exception {
    writeConfigurations();
    for (int i = 0; i < COUNT; i++) {
      start(i);
    }
    Session first = new Session("g0");
    if (first.send("JOIN", "", WAIT_MS) == null) {
      throw new IOException("the coordinators did not begin to serve");
    }
    long token = token(first.send("CLAIM", ",\"duty\":\"report\"", WAIT_MS));
    if (token == 0) {
      Run.sleep(1000);
      token = token(first.send("CLAIM", ",\"duty\":\"report\"", WAIT_MS));
    }
    if (token == 0) {
      throw new IOException("g0 was not granted the duty");
    }
    run.note("g0 owns the duty, token %d", token);
    int leader = leader();
    int killed = (leader + 1) % COUNT;
    if (run.trouble) {
      kill(killed);
    }
    String filler = "r".repeat(900);
    double renewedAt = run.now();
    for (int i = 0; i < PUBLISHED; i++) {
      if (run.now() - renewedAt > 500) {
        first.send("RENEW", "", WAIT_MS);
        renewedAt = run.now();
      }
      String more =
          String.format(
              ",\"duty\":\"report\",\"token\":%d,\"revision\":%d,\"value\":\"%s%d\"",
              token, i, filler, i);
      String answer = first.send("PUBLISH", more, WAIT_MS);
      if (answer == null || answer.contains("\"code\"")) {
        throw new IOException("publishing failed: " + answer);
      }
      if (i % 100 == 99) {
        run.note("g0 has published %d times", i + 1);
      }
    }
    if (run.trouble) {
      start(killed);
    }
    for (int i = 0; i < 15; i++) {
      first.send("RENEW", "", WAIT_MS);
      Run.sleep(700);
    }
    note(killed);
    leader = leader();
    if (run.trouble && leader != killed) {
      kill(leader);
    }
    run.note("g0 falls silent");
    Session second = new Session("g1");
    double asked = run.now();
    String joined = second.send("JOIN", "", WAIT_MS);
    run.note("g1 joins: %s", brief(joined));
    String claimed = null;
    while (joined != null && run.now() - asked < WAIT_MS && token(claimed) == 0) {
      Run.sleep(300);
      second.send("RENEW", "", 5000);
      claimed = second.send("CLAIM", ",\"duty\":\"report\"", 5000);
    }
    run.note("g1 claims: %s", brief(claimed));
    List<String> alive = new ArrayList<>();
    for (int i = 0; i < COUNT; i++) {
      if (processes[i].isAlive()) {
        alive.add("s" + i);
        note(i);
      }
    }
    boolean held = token(claimed) > token;
    run.say(
        "running=%s, the duty %s within %d s",
        alive, held ? "passed on" : "had no owner", WAIT_MS / 1000);
    if (alive.size() < 2) {
      return Run.COULD_NOT_RUN;
    }
    return held ? Run.HELD : Run.BROKEN;
  }

  private static String brief(String answer) {
    return answer == null ? "no answer" : answer.substring(0, Math.min(200, answer.length()));
  }

  private int leader() throws InterruptedException {
    for (int i = 0; i < 100; i++) {
      if (call("/fleet/state", null) != null) {
        return current;
      }
      Run.sleep(50);
    }
    return current;
  }

  /** Notes what a coordinator says of itself, and the first error of its log. */
  private void note(int number) throws IOException {
    String error =
        Files.readAllLines(run.temp.resolve("s" + number + ".log")).stream()
            .filter(line -> line.contains("caught a Throwable"))
            .findFirst()
            .orElse("no such error");
    run.note("s%d alive=%b, log: %s", number, processes[number].isAlive(), error);
  }

  private static long token(String answer) {
    Matcher token = TOKEN.matcher(answer == null ? "" : answer);
    return token.find() ? Long.parseLong(token.group(1)) : 0;
  }
}
