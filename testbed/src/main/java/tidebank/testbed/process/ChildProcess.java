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
 * A Java child process that does not outlive this process, even if this one is killed. A shell
 * between the two runs a watchdog, which kills the child when the shell's standard input reaches
 * end of file. Signals are sent to the Java process only, not to the shell.
 */
public final class ChildProcess implements AutoCloseable {
  /**
   * Runs the child and the watchdog in the background. Shells redirect the standard input of
   * background commands, so the watchdog reads the shell's own through descriptor 3.
   */
  private static final String WATCHDOG_SCRIPT =
      "exec 3<&0; \"$@\" < /dev/null 3<&- & child=$!; { cat <&3 > /dev/null; kill -9 $child; } 2>"
          + " /dev/null & watchdog=$!; wait $child; code=$?; kill $watchdog 2> /dev/null; exit"
          + " $code";

  private static final int MAX_RETAINED_LINES = 200;
  private static final int EXIT_TIMEOUT_MS = 2000;

  private final String name;
  private final Process shell;
  private final Deque<String> lines = new ArrayDeque<>();

  /** Whether the child's output has ended. */
  private volatile boolean outputEnded;

  private ChildProcess(String name, Process shell) {
    this.name = name;
    this.shell = shell;
  }

  /**
   * Starts a Java process on the same Java runtime as this process.
   *
   * @param name the process's name in messages
   * @param arguments arguments of the {@code java} command
   * @param environment environment variables to set
   * @param onLine receives each line of its output, on a reader thread
   * @param onEnd called on the reader thread after the last line
   * @throws IOException if the process cannot be started
   */
  public static ChildProcess startJava(
      String name,
      List<String> arguments,
      Map<String, String> environment,
      Consumer<String> onLine,
      Runnable onEnd)
      throws IOException {
    return startJava(name, arguments, environment, onLine, onEnd, Long.MAX_VALUE);
  }

  /**
   * Starts a Java process with a limit on the size of the files it writes, to simulate a full disk.
   *
   * @param name the process's name in messages
   * @param arguments arguments of the {@code java} command
   * @param environment environment variables to set
   * @param onLine receives each line of its output, on a reader thread
   * @param onEnd called on the reader thread after the last line
   * @param maxFileBytes the size limit in bytes, a multiple of 512; Long.MAX_VALUE for none
   * @throws IOException if the process cannot be started
   */
  public static ChildProcess startJava(
      String name,
      List<String> arguments,
      Map<String, String> environment,
      Consumer<String> onLine,
      Runnable onEnd,
      long maxFileBytes)
      throws IOException {
    String sizeLimit =
        maxFileBytes == Long.MAX_VALUE ? "" : "ulimit -f " + maxFileBytes / 512 + "; ";
    List<String> command =
        new ArrayList<>(
            List.of(
                "/bin/sh",
                "-c",
                sizeLimit + WATCHDOG_SCRIPT,
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(arguments);
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().keySet().removeIf(key -> key.startsWith("NODE_"));
    builder.environment().putAll(environment);
    ChildProcess started = new ChildProcess(name, builder.start());
    Thread reader = new Thread(() -> started.readOutput(onLine, onEnd), "log of " + name);
    reader.setDaemon(true);
    reader.start();
    return started;
  }

  private void readOutput(Consumer<String> onLine, Runnable onEnd) {
    try (BufferedReader log = shell.inputReader()) {
      for (String line = log.readLine(); line != null; line = log.readLine()) {
        synchronized (lines) {
          lines.add(line);
          if (lines.size() > MAX_RETAINED_LINES) {
            lines.poll();
          }
        }
        onLine.accept(line);
      }
    } catch (IOException closed) {
      // The process has ended; the lines read so far are retained.
    }
    outputEnded = true;
    onEnd.run();
  }

  /** Returns the process's name. */
  public String name() {
    return name;
  }

  /** Returns the last lines of the process's output, at most 200. */
  public String lastLines() {
    synchronized (lines) {
      return String.join("\n", lines);
    }
  }

  /** Returns whether the process runs and its output has not ended. */
  public boolean isAlive() {
    return shell.isAlive() && !outputEnded;
  }

  private ProcessHandle javaProcess() {
    // The shell's children are the Java process and the watchdog, which runs no java command.
    return shell
        .toHandle()
        .children()
        .filter(process -> process.info().command().orElse("").endsWith("java"))
        .findFirst()
        .orElse(null);
  }

  /** Returns the id of the Java process, or -1 if it does not run. */
  public long pid() {
    ProcessHandle process = javaProcess();
    return process == null ? -1 : process.pid();
  }

  /** Sends SIGTERM. */
  public void terminate() {
    ProcessHandle process = javaProcess();
    if (process != null) {
      process.destroy();
    }
  }

  /** Sends SIGKILL. */
  public void kill() {
    ProcessHandle process = javaProcess();
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /**
   * Sends SIGSTOP, which suspends the process; it cannot catch this signal.
   *
   * @throws IOException if the process has ended
   */
  public void suspend() throws IOException {
    signal("STOP");
  }

  /**
   * Sends SIGCONT, which resumes a suspended process.
   *
   * @throws IOException if the process has ended
   */
  public void resume() throws IOException {
    signal("CONT");
  }

  private void signal(String signal) throws IOException {
    long pid = pid();
    if (pid < 0) {
      throw new IOException(name + " has ended; last output: " + lastLines());
    }
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    }
  }

  /** Waits for the process to end; returns its exit code, or -1 after {@code timeoutMs}. */
  public int waitFor(long timeoutMs) {
    try {
      if (shell.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) {
        return shell.exitValue();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    return -1;
  }

  /** Kills the process if it still runs. */
  @Override
  public void close() {
    kill();
    if (waitFor(EXIT_TIMEOUT_MS) == -1) {
      shell.destroyForcibly();
    }
  }
}
