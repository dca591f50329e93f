package tidebank.lab.replay;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A gatherer in a process of its own, started as operators start one. It ends with this process whatever happens to it:
 * between the two stands a shell that kills the gatherer when its own standard input ends.
 */
public final class GathererProcess implements AutoCloseable {
  /** Flags of the deployment's own command; small, so that many fit one machine. */
  private static final List<String> FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms48m", "-Xmx48m",
      "-XX:MaxDirectMemorySize=32m", "-XX:MaxMetaspaceSize=32m", "-XX:ReservedCodeCacheSize=16m", "-Xss512k",
      "-XX:-UsePerfData");
  /** A shell gives what it starts behind itself no standard input, hence the third descriptor. */
  private static final String GUARD =
      "exec 3<&0; \"$@\" < /dev/null 3<&- & child=$!; { cat <&3 > /dev/null; kill -9 $child; } 2> /dev/null & "
          + "guard=$!; wait $child; code=$?; kill $guard 2> /dev/null; exit $code";
  private static final Pattern LISTENS = Pattern.compile("listens on /?([0-9.]+):([0-9]+)");
  private static final int LINES_KEPT = 200;
  private static final int START_S = 20;

  private final String name;
  private final Path config;
  private final Process shell;
  private final CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();
  private final Deque<String> lines = new ArrayDeque<>();

  private GathererProcess(String name, Path config, Process shell) {
    this.name = name;
    this.config = config;
    this.shell = shell;
  }

  /** Starts one with this configuration file's content, an operator's own file or null, and further flags of its JVM. */
  public static GathererProcess start(String name, String file, Path own, List<String> jvm) throws IOException {
    Path config = Files.createTempFile("tidebank-" + name + "-", ".json");
    config.toFile().deleteOnExit();
    Files.writeString(config, file);
    List<String> command = new ArrayList<>(List.of("/bin/sh", "-c", GUARD, "sh"));
    command.addAll(java(jvm));
    if (own != null) {
      command.addAll(List.of("--config", own.toString()));
    }
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().keySet().removeIf(key -> key.startsWith("NODE_"));
    builder.environment().put("NODE_CONFIG", config.toString());
    GathererProcess process = new GathererProcess(name, config, builder.start());
    Thread reader = new Thread(process::read, "log of " + name);
    reader.setDaemon(true);
    reader.start();
    return process;
  }

  /** The gatherer's lean jar where there is one, else the classes of this process. */
  private static List<String> java(List<String> jvm) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(FLAGS);
    command.addAll(jvm);
    String home = System.getProperty("tidebank.home", "");
    File jar = new File(home, "gatherer/target/tidebank.jar");
    if (!home.isEmpty() && jar.isFile()) {
      command.addAll(List.of("-jar", jar.getPath(), "serve"));
    } else {
      command.addAll(List.of("-cp", System.getProperty("java.class.path"), "tidebank.Main", "serve"));
    }
    return command;
  }

  private void read() {
    try (BufferedReader log = shell.inputReader()) {
      for (String line = log.readLine(); line != null; line = log.readLine()) {
        Matcher listens = LISTENS.matcher(line);
        if (listens.find()) {
          address.complete(new InetSocketAddress(listens.group(1), Integer.parseInt(listens.group(2))));
        }
        synchronized (lines) {
          lines.add(line);
          if (lines.size() > LINES_KEPT) {
            lines.poll();
          }
        }
      }
    } catch (IOException ended) {
      // The process is gone; what it said last is kept.
    }
    address.completeExceptionally(new IOException(name + " ended before it listened: " + lastLines()));
  }

  public String name() {
    return name;
  }

  public String lastLines() {
    synchronized (lines) {
      return String.join("\n", lines);
    }
  }

  /** Waits until it listens. */
  public InetSocketAddress address() throws IOException {
    try {
      return address.get(START_S, TimeUnit.SECONDS);
    } catch (ExecutionException fault) {
      throw new IOException(fault.getCause().getMessage());
    } catch (TimeoutException fault) {
      throw new IOException(name + " does not listen after " + START_S + " s: " + lastLines());
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    }
  }

  /** Waits until it says that it is ready. */
  public void ready() throws IOException {
    InetSocketAddress at = address();
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_S);
    while (System.nanoTime() < until && shell.isAlive()) {
      try {
        HttpURLConnection call = (HttpURLConnection) URI.create(
            "http://" + at.getHostString() + ":" + at.getPort() + "/health/ready").toURL().openConnection();
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

  private ProcessHandle gatherer() {
    // Below the shell stand the gatherer and the guard; only the gatherer is a java.
    return shell.toHandle().children().filter(child -> child.info().command().orElse("").endsWith("java")).findFirst()
        .orElse(null);
  }

  public long pid() {
    ProcessHandle one = gatherer();
    return one == null ? -1 : one.pid();
  }

  public boolean alive() {
    return shell.isAlive();
  }

  /** SIGTERM; it ends what it holds. */
  public void terminate() {
    ProcessHandle one = gatherer();
    if (one != null) {
      one.destroy();
    }
  }

  /** SIGKILL. */
  public void kill() {
    ProcessHandle one = gatherer();
    if (one != null) {
      one.destroyForcibly();
    }
  }

  /** Its exit code, or -1 if it had to be killed as it did not end in this time. */
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
    if (waitFor(2000) == -1) {
      shell.destroyForcibly();
    }
    try {
      Files.deleteIfExists(config);
    } catch (IOException left) {
      // A file of a few KB in the temporary folder; it goes with the process at the latest.
    }
  }
}
