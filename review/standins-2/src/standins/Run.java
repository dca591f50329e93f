package standins;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * One run of a case: its record, its temporary folder and the processes that it started. All times
 * are milliseconds of the monotonic clock since the start of the run.
 */
final class Run implements AutoCloseable {
  static final int HELD = 0;
  /** Other than 1, by which a JVM ends that could not start the case. */
  static final int BROKEN = 3;
  static final int COULD_NOT_RUN = 2;

  private static final Set<Integer> PORTS = new HashSet<>();

  final Path root;
  final Path temp;
  final boolean trouble;
  private final long startNanos = System.nanoTime();
  private final PrintWriter record;
  private final List<RouterProcess> routers = new ArrayList<>();
  private final List<Process> others = new ArrayList<>();

  /** The code of a case. Returns an exit code. */
  interface Case {
    int play(Run run) throws Exception;
  }

  private Run(Path root, Path folder, Path work) throws IOException {
    this.root = root;
    temp = work;
    trouble = !"0".equals(System.getenv("TROUBLE"));
    record =
        new PrintWriter(
            Files.newBufferedWriter(folder.resolve("record.txt"), StandardCharsets.UTF_8), true);
  }

  /**
   * Plays a case and ends the process with its exit code; args: the root, the case's folder and a
   * temporary folder, which the caller removes.
   */
  static void main(String[] args, Case played) {
    int code = COULD_NOT_RUN;
    try (Run run = new Run(Path.of(args[0]), Path.of(args[1]), Path.of(args[2]))) {
      Runtime.getRuntime().addShutdownHook(new Thread(run::killAll));
      Thread limit =
          new Thread(
              () -> {
                // Also ends the run if the script that started it is gone.
                ProcessHandle caller = ProcessHandle.current().parent().orElseThrow();
                while (run.now() < 112_000 && caller.isAlive()) {
                  sleep(200);
                }
                run.note("the run took too long, or its script is gone");
                run.killAll();
                Runtime.getRuntime().halt(COULD_NOT_RUN);
              });
      limit.setDaemon(true);
      limit.start();
      run.note("trouble=%d", run.trouble ? 1 : 0);
      try {
        code = played.play(run);
      } catch (Exception | AssertionError fault) {
        run.note("could not run: %s", fault);
        fault.printStackTrace();
      }
      run.note("exit code %d", code);
    } catch (IOException fault) {
      fault.printStackTrace();
    }
    System.exit(code);
  }

  double now() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /** Writes a line with the time to the record. */
  synchronized void note(String format, Object... args) {
    record.printf(Locale.ROOT, "%9.1f  %s%n", now(), String.format(Locale.ROOT, format, args));
  }

  /** Writes a line to the record and to standard output. */
  void say(String format, Object... args) {
    note(format, args);
    System.out.println(String.format(Locale.ROOT, format, args));
  }

  RouterProcess startRouter(String name, int port, int discoveryPort, String config)
      throws IOException {
    RouterProcess router = new RouterProcess(this, name, port, discoveryPort, config);
    synchronized (routers) {
      routers.add(router);
    }
    return router;
  }

  /** Notes the id of a process, by which the script ends it if this process can't. */
  void notePid(Process process) throws IOException {
    Files.writeString(
        temp.resolve("pids"),
        process.pid() + "\n",
        StandardOpenOption.CREATE,
        StandardOpenOption.APPEND);
  }

  /** Has another process ended at the end of the run. */
  void addProcess(Process process) throws IOException {
    notePid(process);
    synchronized (routers) {
      others.add(process);
    }
  }

  private void killAll() {
    synchronized (routers) {
      routers.forEach(RouterProcess::kill);
      others.forEach(Process::destroyForcibly);
    }
  }

  /**
   * Returns a port that nobody listens on. It lies below those that the system hands to outgoing
   * connections, so that none of these takes it before it is listened on.
   */
  static synchronized int freePort() throws IOException {
    for (int i = 0; i < 1000; i++) {
      int port = ThreadLocalRandom.current().nextInt(11_000, 32_000);
      if (!PORTS.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (IOException taken) {
        // Tries another one.
      }
    }
    throw new IOException("no free port");
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }

  @Override
  public void close() throws IOException {
    killAll();
    record.close();
  }
}
