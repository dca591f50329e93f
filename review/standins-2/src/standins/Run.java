package standins;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * One run of a case: its record, its temporary folder and the processes that it started. All times
 * are milliseconds of the monotonic clock since the start of the run.
 */
final class Run implements AutoCloseable {
  static final int HELD = 0;
  /** Other than 1, by which a JVM ends that could not start the case. */
  static final int BROKEN = 3;
  static final int COULD_NOT_RUN = 2;

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

  private Run(Path root, Path folder) throws IOException {
    this.root = root;
    temp = Files.createTempDirectory("review-case-");
    trouble = !"0".equals(System.getenv("TROUBLE"));
    record =
        new PrintWriter(
            Files.newBufferedWriter(folder.resolve("record.txt"), StandardCharsets.UTF_8), true);
  }

  /** Plays a case and ends the process with its exit code; args: the root and the case's folder. */
  static void main(String[] args, Case played) {
    int code = COULD_NOT_RUN;
    try (Run run = new Run(Path.of(args[0]), Path.of(args[1]))) {
      Runtime.getRuntime().addShutdownHook(new Thread(run::killAll));
      Thread limit =
          new Thread(
              () -> {
                sleep(110_000);
                run.note("the run took too long");
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

  /** Has another process ended at the end of the run. */
  void addProcess(Process process) {
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

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
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
    try (Stream<Path> files = Files.walk(temp)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
