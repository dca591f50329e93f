package tidebank;

import java.io.IOException;
import tidebank.sim.WireHost;

/** The command line: picks the front that drives the decisions. */
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    if (args.length != 1 || !args[0].equals("wirehost")) {
      System.err.println("usage: java -jar tidebank.jar wirehost");
      System.exit(2);
    }
    try {
      new WireHost().run(System.in, System.out);
    } catch (IOException fault) {
      System.err.println("tidebank: " + fault.getMessage());
      System.exit(1);
    }
  }
}
