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
  static final class Router {
    final int port;
    final Process process;

    Router(int port, Process process) {
      this.port = port;
      this.process = process;
    }

    void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }
  }

  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  final RunRecord record;
  private final Path root;
  private final String command;
  private final Path folder;
  private final List<Process> started = new ArrayList<>();

  Lab(Path caseFolder) throws IOException {
    record = new RunRecord(caseFolder.resolve("record.txt"));
    record.add("case", "TROUBLE=" + (TROUBLE ? 1 : 0));
    root = Path.of(System.getenv("REPOSITORY"));
    command = System.getenv("RUN_COMMAND");
    folder = Path.of(System.getenv("CASE_TMP"));
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
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

  /** Starts a router and waits until it says that it is ready. */
  Router start(String name, String discovery, String known, String settings) throws Exception {
    Router router = startOnly(name, discovery, known, settings);
    awaitReady(router);
    return router;
  }

  /** Replaces a router's configuration. */
  Path rewrite(String name, int port, String discovery, String known, String settings) throws IOException {
    Path next = folder.resolve(name + ".next");
    Files.writeString(next, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
        + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be964\","
        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
        + (known == null ? "" : "\"known\":" + known + ",") + "\"settings\":" + settings + "}");
    return Files.move(next, folder.resolve(name + ".json"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
  }

  Router startOnly(String name, String discovery, String known, String settings) throws Exception {
    return startAt(freePort(), name, discovery, known, settings);
  }

  Router startAt(int port, String name, String discovery, String known, String settings) throws Exception {
    Path config = rewrite(name, port, discovery, known, settings);
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

  void awaitReady(Router router) throws Exception {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < until) {
      if (!router.process.isAlive()) {
        throw new Unplayable("the router ended with " + router.process.exitValue());
      }
      try (java.net.Socket socket = new java.net.Socket("127.0.0.1", router.port)) {
        socket.getOutputStream().write("GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".getBytes());
        byte[] head = socket.getInputStream().readNBytes(12);
        if (new String(head).equals("HTTP/1.1 200")) {
          record.add("case", "the router is ready");
          return;
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
      try {
        new ProcessBuilder("kill", "-CONT", Long.toString(process.pid())).start().waitFor();
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
      } catch (IOException | InterruptedException fault) {
        process.destroyForcibly();
      }
    }
  }

  static void sleep(double ms) throws InterruptedException {
    Thread.sleep((long) Math.max(0, ms));
  }

  /** Runs a case and ends with 1 if it returns a broken rule, 0 if it returns null, 2 otherwise. */
  static void play(String folder, Case played) {
    Lab lab = null;
    int exit = 2;
    try {
      lab = new Lab(Path.of(folder));
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
