import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts routers by the deploy file's command, signals them, and ends them. */
final class Lab {
  /** A task of a stand-in. */
  interface Task {
    void run() throws Exception;
  }

  /** Ends a run that could not be played. */
  static final class Unplayable extends RuntimeException {
    Unplayable(String message) {
      super(message);
    }
  }

  /** One router, a process of its own. */
  record Router(int port, Process process) {}

  /** A run may take 120 s; this one is ended before. */
  private static final int LIMIT_S = 105;

  /** How often a router is started anew if another process has taken its port in between. */
  private static final int STARTS = 3;

  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  final RunRecord record;
  private final Path root;
  private final String command;
  private final Path folder;
  private final List<Process> started = new ArrayList<>();

  Lab(Path recordFile) throws IOException {
    record = new RunRecord(recordFile);
    root = Path.of(System.getenv("REPOSITORY"));
    command = System.getenv("RUN_COMMAND");
    folder = Path.of(System.getenv("CASE_TMP"));
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    daemon("watchdog", this::watch);
  }

  /** Ends this process, and with it all routers, once the script is gone or the time is over. */
  private void watch() throws InterruptedException {
    ProcessHandle script = ProcessHandle.current().parent().orElseThrow();
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
    while (script.isAlive() && System.nanoTime() < until) {
      Thread.sleep(100);
    }
    record.add("case", script.isAlive() ? "NOT PLAYED: over " + LIMIT_S + " s" : "NOT PLAYED: the script has gone");
    System.exit(2);
  }

  static void daemon(String name, Task task) {
    Thread thread = new Thread(() -> {
      try {
        task.run();
      } catch (IOException ended) {
        // The other side has gone, or the run is over.
      } catch (Exception fault) {
        fault.printStackTrace();
      }
    }, name);
    thread.setDaemon(true);
    thread.start();
  }

  static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return probe.getLocalPort();
    }
  }

  /** Starts a router on a free port and waits until it says that it is ready. */
  Router start(String name, String discovery, String known, String settings) throws Exception {
    for (int start = 1; ; start++) {
      Router router = startAt(freePort(), name, discovery, known, settings);
      if (awaitReady(router)) {
        return router;
      }
      if (start == STARTS) {
        throw new Unplayable("the router ended with " + router.process().exitValue());
      }
    }
  }

  private Router startAt(int port, String name, String discovery, String known, String settings) throws Exception {
    Path config = folder.resolve(name + ".json");
    Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
        + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be964\","
        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
        + "\"known\":" + known + ",\"settings\":" + settings + "}");
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
    builder.directory(root.toFile());
    builder.environment().put("NODE_NAME", name);
    builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("NODE_DISCOVERY", discovery);
    builder.environment().put("NODE_CONFIG", config.toString());
    builder.environment().put("TMPDIR", Files.createDirectories(folder.resolve("tmp-" + name)).toString());
    File log = folder.resolve(name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    Process process = builder.start();
    started.add(process);
    Files.writeString(folder.resolve("pids"), process.pid() + "\n",
        java.nio.file.StandardOpenOption.CREATE, java.nio.file.StandardOpenOption.APPEND);
    record.add("case", "starts router " + name + " on port " + port + ", process " + process.pid());
    return new Router(port, process);
  }

  /** Returns false if the router has ended. */
  private boolean awaitReady(Router router) throws Exception {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < until) {
      if (!router.process().isAlive()) {
        record.add("case", "the router ended with " + router.process().exitValue());
        return false;
      }
      try (java.net.Socket socket = new java.net.Socket("127.0.0.1", router.port())) {
        socket.getOutputStream().write("GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".getBytes());
        byte[] head = socket.getInputStream().readNBytes(12);
        if (new String(head).equals("HTTP/1.1 200")) {
          record.add("case", "the router is ready");
          return true;
        }
      } catch (IOException notYet) {
        // Not listening yet.
      }
      Thread.sleep(5);
    }
    throw new Unplayable("the router was not ready within 30 s");
  }

  /** Ends everything that was started. */
  void endAll() {
    for (Process process : started) {
      process.destroyForcibly();
    }
  }

  static void sleep(double ms) throws InterruptedException {
    Thread.sleep((long) Math.max(0, ms));
  }

  /** Runs a case and ends with 1 if it returns a broken rule, 0 if it returns null, 2 otherwise. */
  static void play(String recordFile, Case played) {
    Lab lab = null;
    int exit = 2;
    try {
      lab = new Lab(Path.of(recordFile));
      String broken = played.play(lab);
      lab.record.add("case", broken == null ? "HELD" : "BROKEN: " + broken);
      System.out.println(broken == null ? "held" : "broken: " + broken);
      exit = broken == null ? 0 : 1;
    } catch (Exception fault) {
      System.out.println("not played: " + fault);
      fault.printStackTrace();
      if (lab != null) {
        lab.record.add("case", "NOT PLAYED: " + fault);
      }
    }
    System.exit(exit);
  }

  /** A case. */
  interface Case {
    /** Returns what was broken, or null. */
    String play(Lab lab) throws Exception;
  }
}
