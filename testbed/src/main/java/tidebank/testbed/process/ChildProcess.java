package tidebank.testbed.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A Java process that ends with this one, whatever happens to it: between the two stands a shell
 * that kills the child when its own standard input ends. Signals go to the child alone, which this
 * one has started.
 */
public final class ChildProcess implements AutoCloseable {
  /** A shell gives what it starts behind itself no standard input, hence the third descriptor. */
  private static final String GUARD =
      "exec 3<&0; \"$@\" < /dev/null 3<&- & child=$!; { cat <&3 > /dev/null; kill -9 $child; } 2>"
          + " /dev/null & guard=$!; wait $child; code=$?; kill $guard 2> /dev/null; exit $code";

  private static final int LINES_KEPT = 200;
  private static final int END_MS = 2000;

  private final String name;
  private final Process shell;
  private final Deque<String> lines = new ArrayDeque<>();
  private volatile boolean ended;

  private ChildProcess(String name, Process shell) {
    this.name = name;
    this.shell = shell;
  }

  /**
   * Starts one.
   *
   * @param arguments of the java that this process runs on
   * @param told hears each line of its output, on a thread of its own
   * @param end run on that thread once there is no more
   */
  public static ChildProcess java(
      String name,
      List<String> arguments,
      Map<String, String> environment,
      Consumer<String> told,
      Runnable end)
      throws IOException {
    return java(name, arguments, environment, told, end, Long.MAX_VALUE);
  }

  /**
   * Starts one whose files can't grow beyond a size: it meets them as it would a full disk.
   *
   * @param fileBytes the most that any file of it may have; a multiple of 512
   */
  public static ChildProcess java(
      String name,
      List<String> arguments,
      Map<String, String> environment,
      Consumer<String> told,
      Runnable end,
      long fileBytes)
      throws IOException {
    String bound = fileBytes == Long.MAX_VALUE ? "" : "ulimit -f " + fileBytes / 512 + "; ";
    List<String> command =
        new ArrayList<>(
            List.of(
                "/bin/sh",
                "-c",
                bound + GUARD,
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(arguments);
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().keySet().removeIf(key -> key.startsWith("NODE_"));
    builder.environment().putAll(environment);
    ChildProcess guarded = new ChildProcess(name, builder.start());
    Thread reader = new Thread(() -> guarded.read(told, end), "log of " + name);
    reader.setDaemon(true);
    reader.start();
    return guarded;
  }

  private void read(Consumer<String> told, Runnable end) {
    try (BufferedReader log = shell.inputReader()) {
      for (String line = log.readLine(); line != null; line = log.readLine()) {
        synchronized (lines) {
          lines.add(line);
          if (lines.size() > LINES_KEPT) {
            lines.poll();
          }
        }
        told.accept(line);
      }
    } catch (IOException gone) {
      // The process is gone; what it said last is kept.
    }
    ended = true;
    end.run();
  }

  public String name() {
    return name;
  }

  public String lastLines() {
    synchronized (lines) {
      return String.join("\n", lines);
    }
  }

  public boolean alive() {
    return shell.isAlive() && !ended;
  }

  private ProcessHandle child() {
    // Below the shell stand the child and the guard; only the child is a java.
    return shell
        .toHandle()
        .children()
        .filter(one -> one.info().command().orElse("").endsWith("java"))
        .findFirst()
        .orElse(null);
  }

  public long pid() {
    ProcessHandle one = child();
    return one == null ? -1 : one.pid();
  }

  /** SIGTERM. */
  public void terminate() {
    ProcessHandle one = child();
    if (one != null) {
      one.destroy();
    }
  }

  /** SIGKILL. */
  public void kill() {
    ProcessHandle one = child();
    if (one != null) {
      one.destroyForcibly();
    }
  }

  /** SIGSTOP: it stands still, and neither knows nor can do anything about it. */
  public void stop() throws IOException {
    signal("STOP");
  }

  /** SIGCONT: it goes on where it stood. */
  public void wake() throws IOException {
    signal("CONT");
  }

  private void signal(String signal) throws IOException {
    long pid = pid();
    if (pid < 0) {
      throw new IOException(name + " has ended: " + lastLines());
    }
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    }
  }

  /** Its exit code, or -1 if it has not ended in this time. */
  public int waitFor(long millis) {
    try {
      if (shell.waitFor(millis, TimeUnit.MILLISECONDS)) {
        return shell.exitValue();
      }
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
    }
    return -1;
  }

  /** Ends it at once if it still runs. */
  @Override
  public void close() {
    kill();
    if (waitFor(END_MS) == -1) {
      shell.destroyForcibly();
    }
  }
}
