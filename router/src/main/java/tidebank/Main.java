package tidebank;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;
import sun.misc.SignalHandler;
import tidebank.config.MalformedInputException;
import tidebank.config.OperatorConfig;
import tidebank.config.RouterConfig;
import tidebank.logging.Log;
import tidebank.runtime.QueryRouter;
import tidebank.simulation.SimulatorHost;

/** The command line: picks the front that drives the decisions. */
public final class Main {
  private static final Logger LOG;

  static {
    Log.own();
    LOG = LoggerFactory.getLogger(Main.class);
  }

  private Main() {}

  public static void main(String[] args) {
    boolean filed = args.length == 3 && args[0].equals("serve") && args[1].equals("--config");
    String command = args.length == 1 || filed ? args[0] : "";
    try {
      switch (command) {
        case "serve" ->
            serve(filed ? OperatorConfig.read(Path.of(args[2])) : OperatorConfig.DEFAULT);
        case "simulate", "wirehost" -> new SimulatorHost().run(System.in, System.out);
        default -> {
          System.err.println("usage: java -jar tidebank.jar serve [--config FILE] | wirehost");
          System.exit(2);
        }
      }
    } catch (IOException fault) {
      System.err.println("tidebank: " + fault.getMessage().replace("\n", "\ntidebank: "));
      System.exit(fault instanceof MalformedInputException && command.equals("serve") ? 2 : 1);
    }
  }

  /**
   * Serves until SIGTERM, whose hook waits for the last answer and then ends with 0. Each SIGHUP
   * has the configuration read again, here and not on the event loop; signals that come meanwhile
   * count as one.
   */
  private static void serve(OperatorConfig own) throws IOException {
    Semaphore reloads = new Semaphore(0);
    SignalHandler before = Signal.handle(new Signal("HUP"), signal -> reloads.release());
    AtomicBoolean starting = new AtomicBoolean();
    CompletableFuture<QueryRouter> started = new CompletableFuture<>();
    // A signal before anything listens ends the program at once; amid the start, when that is done
    // and undone again.
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  if (!starting.get() && !started.isDone()) {
                    Runtime.getRuntime().halt(0);
                  }
                  if (!started.handle((it, fault) -> fault != null).join()) {
                    started.join().stop().join();
                    Runtime.getRuntime().halt(0);
                  }
                }));
    QueryRouter gatherer;
    try {
      Log.style(own.logging());
      RouterConfig config = RouterConfig.read(System.getenv());
      starting.set(true);
      gatherer = QueryRouter.start(config, own);
      started.complete(gatherer);
    } catch (IOException | RuntimeException | Error fault) {
      started.completeExceptionally(fault);
      throw fault;
    }
    if (before == SignalHandler.SIG_IGN) {
      // A JVM leaves a signal ignored that its parent had it ignore, as nohup does.
      LOG.warn("SIGHUP is ignored by the parent process: a new configuration needs a restart");
    }
    LOG.info("serving");
    while (true) {
      reloads.acquireUninterruptibly();
      reloads.drainPermits();
      try {
        gatherer.reload(RouterConfig.reread(System.getenv()));
      } catch (MalformedInputException fault) {
        gatherer.reloadFailed(fault);
      } catch (RejectedExecutionException stopped) {
        return;
      }
    }
  }
}
