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

/** A gatherer in a process of its own, started as operators start one, that ends with this one. */
public final class RouterProcess implements AutoCloseable {
  /** Flags of the deployment's own command; small, so that many fit one machine. */
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
  private final Path config;
  private final CompletableFuture<InetSocketAddress> awaitAddress = new CompletableFuture<>();
  private ChildProcess process;

  private RouterProcess(String name, Path config) {
    this.name = name;
    this.config = config;
  }

  /**
   * Starts one with this configuration file's content, an operator's own file or null, and further
   * flags of its JVM.
   */
  public static RouterProcess start(String name, String file, Path own, List<String> jvm)
      throws IOException {
    return start(name, file, own, jvm, List.of(), line -> {});
  }

  /**
   * The same in another way.
   *
   * @param launcher a main class and its flags before the gatherer's own, or none
   * @param told hears each line of its output
   */
  public static RouterProcess start(
      String name,
      String file,
      Path own,
      List<String> jvm,
      List<String> launcher,
      Consumer<String> told)
      throws IOException {
    Path config = Files.createTempFile("tidebank-" + name + "-", ".json");
    config.toFile().deleteOnExit();
    Files.writeString(config, file);
    List<String> command = java(jvm, launcher);
    if (own != null) {
      command.addAll(List.of("--config", own.toString()));
    }
    RouterProcess started = new RouterProcess(name, config);
    started.process =
        ChildProcess.startJava(
            name,
            command,
            Map.of("NODE_CONFIG", config.toString()),
            line -> {
              started.told(line);
              told.accept(line);
            },
            () ->
                started.awaitAddress.completeExceptionally(
                    new IOException(name + " ended before it listened")));
    return started;
  }

  private void told(String line) {
    Matcher listens = LISTEN_LINE.matcher(line);
    if (listens.find()) {
      awaitAddress.complete(
          new InetSocketAddress(listens.group(1), Integer.parseInt(listens.group(2))));
    }
  }

  /** The gatherer's lean jar where there is one, else the classes of this process. */
  private static List<String> java(List<String> jvm, List<String> launcher) {
    List<String> command = new ArrayList<>(JVM_FLAGS);
    command.addAll(jvm);
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

  public String name() {
    return name;
  }

  public String lastLines() {
    return process.lastLines();
  }

  /** Waits until it listens. */
  public InetSocketAddress awaitAddress() throws IOException {
    try {
      return awaitAddress.get(STARTUP_TIMEOUT_S, TimeUnit.SECONDS);
    } catch (ExecutionException fault) {
      throw new IOException(fault.getCause().getMessage() + ": " + lastLines());
    } catch (TimeoutException fault) {
      throw new IOException(
          name + " does not listen after " + STARTUP_TIMEOUT_S + " s: " + lastLines());
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    }
  }

  /** Waits until it says that it is ready. */
  public void awaitReady() throws IOException {
    InetSocketAddress at = awaitAddress();
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(STARTUP_TIMEOUT_S);
    while (System.nanoTime() < until && process.isAlive()) {
      try {
        HttpURLConnection call =
            (HttpURLConnection)
                URI.create("http://" + at.getHostString() + ":" + at.getPort() + "/health/ready")
                    .toURL()
                    .openConnection();
        call.setConnectTimeout(1000);
        call.setReadTimeout(1000);
        if (call.getResponseCode() == 200) {
          return;
        }
      } catch (IOException notYet) {
        // Asked again below.
      }
      try {
        Thread.sleep(10);
      } catch (InterruptedException fault) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted");
      }
    }
    throw new IOException(name + " is not ready: " + lastLines());
  }

  /** The process itself. */
  public ChildProcess process() {
    return process;
  }

  public long pid() {
    return process.pid();
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  /** SIGTERM; it ends what it holds. */
  public void terminate() {
    process.terminate();
  }

  /** SIGKILL. */
  public void kill() {
    process.kill();
  }

  /** SIGSTOP. */
  public void suspend() throws IOException {
    process.suspend();
  }

  /** SIGCONT. */
  public void resume() throws IOException {
    process.resume();
  }

  /** Its exit code, or -1 if it has not ended in this time. */
  public int waitFor(long millis) {
    return process.waitFor(millis);
  }

  /** Ends it at once if it still runs. */
  @Override
  public void close() {
    process.close();
    try {
      Files.deleteIfExists(config);
    } catch (IOException left) {
      // A file of a few KB in the temporary folder; it goes with the process at the latest.
    }
  }
}
