package tidebank;

import java.io.IOException;
import tidebank.base.Log;
import tidebank.config.Malformed;
import tidebank.config.NodeConfig;
import tidebank.node.Gatherer;
import tidebank.sim.WireHost;

/** The command line: picks the front that drives the decisions. */
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    String command = args.length == 1 ? args[0] : "";
    try {
      switch (command) {
        case "serve" -> serve();
        case "wirehost" -> new WireHost().run(System.in, System.out);
        default -> {
          System.err.println("usage: java -jar tidebank.jar serve | wirehost");
          System.exit(2);
        }
      }
    } catch (IOException fault) {
      System.err.println("tidebank: " + fault.getMessage());
      System.exit(fault instanceof Malformed && command.equals("serve") ? 2 : 1);
    }
  }

  /** Serves until SIGTERM, whose hook waits for the last answer and then ends with 0. */
  private static void serve() throws IOException {
    Gatherer gatherer = Gatherer.start(NodeConfig.read(System.getenv()));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> {
      gatherer.stop().join();
      Runtime.getRuntime().halt(0);
    }));
    Log.info("serving");
  }
}
