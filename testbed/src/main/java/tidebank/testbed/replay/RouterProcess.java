package tidebank.testbed.replay;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tidebank.testbed.process.ChildProcess;

/**
 * A query router in a child process, started with the command that operators use. It does not
 * outlive this process.
 */
public final class RouterProcess implements AutoCloseable {
  /**
   * JVM flags, modeled on the deployment's start command. The memory limits are small so that many
   * routers fit on one machine.
   */
  private static final List<String> JVM_FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xms48m",
          "-Xmx48m",
          "-XX:MaxDirectMemorySize=32m",
          "-XX:MaxMetaspaceSize=32m",
          "-XX:ReservedCodeCacheSize=16m",
          "-Xss512k",
          "-XX:-UsePerfData");

  private static final Pattern LISTEN_LINE = Pattern.compile("listens on /?([0-9.]+):([0-9]+)");
  private static final int STARTUP_TIMEOUT_S = 20;

  private final String name;
  private final Path configFile;
  private final CompletableFuture<InetSocketAddress> awaitAddress = new CompletableFuture<>();
  private ChildProcess process;

  private RouterProcess(String name, Path configFile) {
    this.name = name;
    this.configFile = configFile;
  }

  /**
   * Starts a router.
   *
   * @param name the router's name in messages
   * @param configuration content of its configuration file, as JSON
   * @param operatorFile the operator's configuration file, or null
   * @param jvmFlags further JVM flags
   * @throws IOException if the configuration file can't be written or the process can't be started
   */
  public static RouterProcess start(
      String name, String configuration, Path operatorFile, List<String> jvmFlags)
      throws IOException {
    return start(name, configuration, operatorFile, jvmFlags, List.of(), line -> {});
  }

  /**
   * Starts a router through a launcher.
   *
   * @param name the router's name in messages
   * @param configuration content of its configuration file, as JSON
   * @param operatorFile the operator's configuration file, or null
   * @param jvmFlags further JVM flags
   * @param launcher flags and main class to insert before the router's main class, or empty
   * @param output receives each line of the process's output, on a reader thread
   * @throws IOException if the configuration file can't be written or the process can't be started
   */
  public static RouterProcess start(
      String name,
      String configuration,
      Path operatorFile,
      List<String> jvmFlags,
      List<String> launcher,
      Consumer<String> output)
      throws IOException {
    Path configFile = Files.createTempFile("tidebank-" + name + "-", ".json");
    configFile.toFile().deleteOnExit();
    Files.writeString(configFile, configuration);
    List<String> command = javaArguments(jvmFlags, launcher);
    if (operatorFile != null) {
      command.addAll(List.of("--config", operatorFile.toString()));
    }
    RouterProcess started = new RouterProcess(name, configFile);
    started.process =
        ChildProcess.startJava(
            name,
            command,
            Map.of("NODE_CONFIG", configFile.toString()),
            line -> {
              started.readListenAddress(line);
              output.accept(line);
            },
            () ->
                started.awaitAddress.completeExceptionally(
                    new IOException(name + " ended before it listened on a port")));
    return started;
  }

  /** Completes the address if the line of output has it. */
  private void readListenAddress(String line) {
    Matcher matcher = LISTEN_LINE.matcher(line);
    if (matcher.find()) {
      awaitAddress.complete(
          new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2))));
    }
  }

  /**
   * Returns the arguments of the {@code java} command. They run the router's jar if it has been
   * built and there is no launcher, and otherwise the classes on this process's class path.
   */
  private static List<String> javaArguments(List<String> jvmFlags, List<String> launcher) {
    List<String> command = new ArrayList<>(JVM_FLAGS);
    command.addAll(jvmFlags);
    String home = System.getProperty("tidebank.home", "");
    File jar = new File(home, "router/target/tidebank.jar");
    if (!home.isEmpty() && jar.isFile() && launcher.isEmpty()) {
      command.addAll(List.of("-jar", jar.getPath(), "serve"));
    } else {
      command.addAll(List.of("-cp", System.getProperty("java.class.path")));
      command.addAll(launcher);
      command.addAll(List.of("tidebank.Main", "serve"));
    }
    return command;
  }

  /** Returns the router's name. */
  public String name() {
    return name;
  }

  /** Returns the last lines of the process's output. */
  public String lastLines() {
    return process.lastLines();
  }

  /**
   * Waits until the router listens, and returns its address.
   *
   * @throws IOException if it ends before, or does not listen within 20 s
   */
  public InetSocketAddress awaitAddress() throws IOException {
    try {
      return awaitAddress.get(STARTUP_TIMEOUT_S, TimeUnit.SECONDS);
    } catch (ExecutionException fault) {
      throw new IOException(fault.getCause().getMessage() + ": " + lastLines());
    } catch (TimeoutException fault) {
      throw new IOException(
          name + " did not listen within " + STARTUP_TIMEOUT_S + " s: " + lastLines());
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    }
  }

  /**
   * Waits until the router's readiness endpoint answers with status 200.
   *
   * @throws IOException if the process ends before, or is not ready within 20 s after it listens
   */
  public void awaitReady() throws IOException {
    InetSocketAddress listenAddress = awaitAddress();
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(STARTUP_TIMEOUT_S);
    while (System.nanoTime() < deadline && process.isAlive()) {
      try {
        HttpURLConnection request =
            (HttpURLConnection)
                URI.create(
                        "http://"
                            + listenAddress.getHostString()
                            + ":"
                            + listenAddress.getPort()
                            + "/health/ready")
                    .toURL()
                    .openConnection();
        request.setConnectTimeout(1000);
        request.setReadTimeout(1000);
        if (request.getResponseCode() == 200) {
          return;
        }
      } catch (IOException notYet) {
        // Not ready yet; the next iteration tries again.
      }
      try {
        Thread.sleep(10);
      } catch (InterruptedException fault) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted");
      }
    }
    throw new IOException(
        name + " ended or was not ready within " + STARTUP_TIMEOUT_S + " s: " + lastLines());
  }

  /** Returns the child process. */
  public ChildProcess process() {
    return process;
  }

  /** Returns the id of the router's process, or -1 if it does not run. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process runs and its output has not ended. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Sends SIGTERM, which starts a graceful shutdown. */
  public void terminate() {
    process.terminate();
  }

  /** Sends SIGKILL. */
  public void kill() {
    process.kill();
  }

  /**
   * Sends SIGSTOP, which suspends the process.
   *
   * @throws IOException if the process has ended
   */
  public void suspend() throws IOException {
    process.suspend();
  }

  /**
   * Sends SIGCONT, which resumes a suspended process.
   *
   * @throws IOException if the process has ended
   */
  public void resume() throws IOException {
    process.resume();
  }

  /** Waits for the process to end; returns its exit code, or -1 after {@code timeoutMs}. */
  public int waitFor(long timeoutMs) {
    return process.waitFor(timeoutMs);
  }

  /** Kills the process if it still runs, and deletes its configuration file. */
  @Override
  public void close() {
    process.close();
    try {
      Files.deleteIfExists(configFile);
    } catch (IOException ignored) {
      // deleteOnExit deletes the file when this process ends, at the latest.
    }
  }
}
