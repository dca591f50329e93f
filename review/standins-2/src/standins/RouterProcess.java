package standins;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router as a process of its own, started with the line `run` of the deploy file. */
final class RouterProcess {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]*)\"");

  final int port;
  private final Run run;
  private final String name;
  private final Path config;
  private final int discoveryPort;
  private Process process;

  RouterProcess(Run run, String name, int port, int discoveryPort, String config)
      throws IOException {
    this.run = run;
    this.name = name;
    this.port = port;
    this.discoveryPort = discoveryPort;
    this.config = run.temp.resolve(name + ".json");
    Files.writeString(this.config, config);
    start();
  }

  /** Starts the process, also again after it has ended. */
  void start() throws IOException {
    Matcher line = RUN.matcher(Files.readString(run.root.resolve("deploy/balancer.toml")));
    if (!line.find()) {
      throw new IOException("the deploy file has no line run");
    }
    Path tmp = Files.createDirectories(run.temp.resolve("tmp-" + name));
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", line.group(1));
    builder.directory(run.root.toFile());
    builder.environment().put("NODE_NAME", name);
    builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("NODE_DISCOVERY", "127.0.0.1:" + discoveryPort);
    builder.environment().put("NODE_CONFIG", config.toString());
    builder.environment().put("TMPDIR", tmp.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(run.temp.resolve(name + ".log").toFile()));
    process = builder.start();
    run.notePid(process);
    run.note("router %s started, pid %d", name, process.pid());
  }

  /** Waits until the router reports ready. */
  void awaitReady() throws IOException {
    double until = run.now() + 30_000;
    while (run.now() < until && process.isAlive()) {
      try (Client client = new Client(port)) {
        client.send("GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
        if (client.read(500).status() == 200) {
          run.note("router %s is ready", name);
          return;
        }
      } catch (IOException notYet) {
        // Tries again below.
      }
      Run.sleep(20);
    }
    throw new IOException("router " + name + " did not become ready: " + log());
  }

  String log() throws IOException {
    return Files.readString(run.temp.resolve(name + ".log"));
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Sends a signal by its name to the process, which is the program itself by `exec`. */
  void signal(String signal) throws IOException {
    run.note("SIG%s to router %s", signal, name);
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (InterruptedException interrupted) {
      throw new IOException(interrupted);
    }
  }

  void kill() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
