package tidebank.runtime;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.Semaphore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;
import sun.misc.SignalHandler;
import tidebank.config.MalformedInputException;
import tidebank.config.OperatorConfig;
import tidebank.config.RouterConfig;
import tidebank.logging.Log;

/**
 * The command {@code serve}, for the life of its process: SIGTERM stops the router gracefully,
 * SIGHUP reloads its file.
 */
public final class ServeCommand {
  private static final Logger LOG = LoggerFactory.getLogger(ServeCommand.class);

  private final Semaphore reloads = new Semaphore(0);
  private final CompletableFuture<QueryRouter> started = new CompletableFuture<>();
  private volatile boolean starting;

  private ServeCommand() {}

  /**
   * Serves until SIGTERM, whose shutdown hook waits for the last response and ends the process with
   * 0.
   */
  public static void run(OperatorConfig operatorConfig) throws IOException {
    ServeCommand serving = new ServeCommand();
    SignalHandler previous = Signal.handle(new Signal("HUP"), signal -> serving.reloads.release());
    Runtime.getRuntime().addShutdownHook(new Thread(serving::shutDown));
    QueryRouter router = serving.start(operatorConfig);
    if (previous == SignalHandler.SIG_IGN) {
      // A JVM leaves a signal ignored that its parent had it ignore, as nohup does.
      LOG.warn("SIGHUP is ignored by the parent process: a new configuration needs a restart");
    }
    LOG.info("serving");
    serving.reloadOnRequest(router);
  }

  private QueryRouter start(OperatorConfig operatorConfig) throws IOException {
    try {
      Log.configure(operatorConfig.logging());
      RouterConfig config = RouterConfig.read(System.getenv());
      starting = true;
      QueryRouter router = QueryRouter.start(config, operatorConfig);
      started.complete(router);
      return router;
    } catch (IOException | RuntimeException | Error fault) {
      started.completeExceptionally(fault);
      throw fault;
    }
  }

  /**
   * Ends the process with 0: at once before anything listens; amid the start once that is done and
   * undone again. A failed start keeps its exit code.
   */
  private void shutDown() {
    if (!starting && !started.isDone()) {
      Runtime.getRuntime().halt(0);
    }
    boolean failed = started.handle((router, fault) -> fault != null).join();
    if (!failed) {
      started.join().stop().join();
      Runtime.getRuntime().halt(0);
    }
  }

  /**
   * Reads the configuration again for each SIGHUP, here and not on the event loop; signals that
   * come meanwhile count as one. Returns when the router has stopped.
   */
  private void reloadOnRequest(QueryRouter router) {
    while (true) {
      reloads.acquireUninterruptibly();
      reloads.drainPermits();
      try {
        router.reload(RouterConfig.reread(System.getenv()));
      } catch (MalformedInputException fault) {
        router.reloadFailed(fault);
      } catch (RejectedExecutionException stopped) {
        return;
      }
    }
  }
}
