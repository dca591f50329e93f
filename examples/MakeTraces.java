import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Writes the small traces of this folder, made by us in two public layouts: {@code java
 * examples/MakeTraces.java}. The same ones every time. They hold some of what real files hold: rows
 * out of order, told twice, empty, and no numbers.
 */
public final class MakeTraces {
  private static final int SECONDS = 120;

  public static void main(String[] args) throws IOException {
    Path folder = Path.of(args.length > 0 ? args[0] : "examples/traces");
    Files.createDirectories(folder);
    taskEvents(folder.resolve("task_events.csv"));
    callGraph(folder.resolve("call_graph.csv"));
  }

  /** Arrivals whose rate goes between calm and busy, in seconds. */
  private static List<Double> arrivals(SplittableRandom chance, double calm, double busy) {
    List<Double> times = new ArrayList<>();
    boolean rush = false;
    for (int second = 0; second < SECONDS; second++) {
      rush = chance.nextDouble() < (rush ? 0.85 : 0.05);
      double rate = rush ? busy : calm;
      for (double at = -Math.log(1 - chance.nextDouble()) / rate;
          at < 1;
          at -= Math.log(1 - chance.nextDouble()) / rate) {
        times.add(second + at);
      }
    }
    return times;
  }

  private static int zipf(SplittableRandom chance, int most) {
    // By turning round the integral of 1/x: near enough for an example.
    return (int) Math.min(most - 1, Math.floor(Math.exp(chance.nextDouble() * Math.log(most))) - 1);
  }

  /** In the layout of Google ClusterData 2011, task_events: no header. */
  private static void taskEvents(Path file) throws IOException {
    SplittableRandom chance = new SplittableRandom(2011);
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      lines.add("0,2," + (3418000 + i) + ",0,,0,user-" + i % 5 + ",1,4,0.0125,0.0159,0.0004,0");
    }
    int task = 0;
    for (double at : arrivals(chance, 18, 60)) {
      long us = 600_000_000L + Math.round(at * 1e6);
      int job = 3418309 + zipf(chance, 400);
      int kind = chance.nextInt(100) < 35 ? 2 + chance.nextInt(2) : chance.nextInt(2);
      double cpu = Math.min(0.5, 0.0125 * Math.exp(chance.nextDouble() * 3));
      String tail =
          String.format(
              Locale.ROOT,
              "user-%d,%d,%d,%.4f,%.4f,%.4f,0",
              job % 7,
              kind,
              chance.nextInt(12),
              cpu,
              cpu * 0.8,
              0.0004);
      lines.add(us + ",," + job + "," + task + ",,0," + tail);
      lines.add(
          us
              + chance.nextInt(400_000)
              + ",,"
              + job
              + ","
              + task
              + ",m"
              + chance.nextInt(40)
              + ",1,"
              + tail);
      if (chance.nextInt(60) == 0) {
        lines.add(us + ",," + job + "," + task + ",,0," + tail);
      }
      task++;
    }
    // Rows lie a little out of order, as parts of real files do.
    for (int i = 0; i + 20 < lines.size(); i += 20) {
      if (chance.nextInt(3) == 0) {
        Collections.swap(lines, i, i + chance.nextInt(20));
      }
    }
    lines.add("9223372036854775807,,3418309,999999,,4,user-1,1,4,0.0125,0.0159,0.0004,0");
    lines.add("noon,,3418309,1000000,,0,user-1,1,4,0.0125,0.0159,0.0004,0");
    lines.add("660000000,,,1000001,,0,user-1,1,4,0.0125,0.0159,0.0004,0");
    write(file, lines);
  }

  /** In the layout of the Alibaba microservices call graphs. */
  private static void callGraph(Path file) throws IOException {
    SplittableRandom chance = new SplittableRandom(2021);
    List<String> lines = new ArrayList<>();
    int row = 0;
    int trace = 0;
    for (double at : arrivals(chance, 8, 25)) {
      String id = "0b13" + Integer.toHexString(0x100000 + trace++);
      long ms = Math.round(at * 1000);
      int service = zipf(chance, 60);
      lines.add(
          row++
              + ","
              + id
              + ","
              + ms
              + ",0.1,(?),http,MS_"
              + service
              + ",if_"
              + service
              + ","
              + (5 + chance.nextInt(80)));
      int calls = 1 + chance.nextInt(4);
      for (int call = 1; call <= calls; call++) {
        String kind = chance.nextInt(3) == 0 ? "rpc" : chance.nextInt(2) == 0 ? "mc" : "db";
        int callee = zipf(chance, 200);
        int rt = 1 + chance.nextInt(30);
        lines.add(
            row++
                + ","
                + id
                + ","
                + (ms + chance.nextInt(20))
                + ",0.1."
                + call
                + ",MS_"
                + service
                + ","
                + kind
                + ",MS_"
                + callee
                + ",if_"
                + callee
                + ","
                + (chance.nextInt(10) == 0 ? -rt : rt));
      }
    }
    lines.add(row + ",0b13ffffff,7000,0.1,UNKNOWN,rpc,MS_3,,");
    lines.add(0, ",traceid,timestamp,rpcid,um,rpctype,dm,interface,rt");
    write(file, lines);
  }

  private static void write(Path file, List<String> lines) throws IOException {
    try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(file))) {
      lines.forEach(line -> out.print(line + "\n"));
    }
  }
}
