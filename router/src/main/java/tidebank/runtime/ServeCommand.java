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
 * The {@code serve} command, which runs a router for the lifetime of the process. SIGTERM stops the
 * router gracefully, SIGHUP reloads its configuration.
 */
public final class ServeCommand {
  private static final Logger LOG = LoggerFactory.getLogger(ServeCommand.class);

  private final Semaphore reloads = new Semaphore(0);
  private final CompletableFuture<QueryRouter> started = new CompletableFuture<>();
  private volatile boolean starting;

  private ServeCommand() {}

  /**
   * Serves until SIGTERM. A shutdown hook then waits for the last response and ends the process
   * with exit code 0.
   *
   * @throws IOException if the configuration is malformed or the router cannot listen
   */
  public static void run(OperatorConfig operatorConfig) throws IOException {
    ServeCommand command = new ServeCommand();
    SignalHandler previous = Signal.handle(new Signal("HUP"), signal -> command.reloads.release());
    Runtime.getRuntime().addShutdownHook(new Thread(command::shutDown));
    QueryRouter router = command.start(operatorConfig);
    if (previous == SignalHandler.SIG_IGN) {
      // The JVM keeps a signal ignored if its parent process ignored it, as nohup does.
      LOG.warn("SIGHUP is ignored by the parent process: configuration changes need a restart");
    }
    LOG.info("serving");
    command.reloadOnSignal(router);
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
   * Ends the process with exit code 0: at once if the router has not begun to start, otherwise
   * after it has started and stopped gracefully. A failed start keeps its own exit code.
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
   * Rereads the configuration after each SIGHUP, on this thread and not on the event loop. Several
   * signals in the meantime cause a single reload. Returns when the router has stopped.
   */
  private void reloadOnSignal(QueryRouter router) {
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
