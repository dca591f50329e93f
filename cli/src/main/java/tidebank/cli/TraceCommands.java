package tidebank.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tidebank.config.Malformed;
import tidebank.config.Toml;
import tidebank.lab.replay.Incident;
import tidebank.lab.replay.Replay;
import tidebank.lab.report.Comparison;
import tidebank.lab.report.StatsPage;
import tidebank.lab.site.Site;
import tidebank.lab.trace.TraceRow;
import tidebank.lab.trace.layout.Column;
import tidebank.lab.trace.layout.Layout;
import tidebank.lab.trace.layout.Layouts;
import tidebank.lab.trace.mapping.Mapping;
import tidebank.lab.trace.order.Item;
import tidebank.lab.trace.read.Importer;
import tidebank.lab.trace.read.Sniffer;
import tidebank.lab.trace.read.Source;
import tidebank.lab.trace.shape.Rows;
import tidebank.lab.trace.shape.Shapes;
import tidebank.lab.trace.stats.TraceStats;
import tidebank.lab.trace.store.TraceFile;
import tidebank.lab.trace.store.TraceMeta;
import tidebank.lab.trace.synth.Synthesis;

/** Everything about traces: from public CSV to a report of service. */
@Command(
    name = "trace",
    description = "Reads public cluster traces in CSV, maps, shapes, makes and replays them.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      TraceCommands.LayoutsCommand.class,
      TraceCommands.MappingCommand.class,
      TraceCommands.Sniff.class,
      TraceCommands.Import.class,
      TraceCommands.Show.class,
      TraceCommands.Stats.class,
      TraceCommands.Shape.class,
      TraceCommands.Synth.class,
      TraceCommands.ReplayCommand.class,
      TraceCommands.Compare.class
    })
final class TraceCommands implements Callable<Integer> {
  static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
  static final long SECOND_US = 1_000_000;

  @Spec CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  /** What all of them have: a result for people or for scripts. */
  abstract static class Told implements Callable<Integer> {
    @Spec CommandSpec spec;

    @Option(names = "--json", description = "the result as JSON")
    boolean json;

    PrintWriter out() {
      return spec.commandLine().getOut();
    }

    void print(ObjectNode result) throws IOException {
      out().println(JSON.writeValueAsString(result));
      out().flush();
    }

    ParameterException wrong(String text) {
      return new ParameterException(spec.commandLine(), text);
    }
  }

  @Command(
      name = "layouts",
      description = "Lists the known layouts with their columns and units.",
      mixinStandardHelpOptions = true)
  static final class LayoutsCommand extends Told {
    @Override
    public Integer call() throws IOException {
      ObjectNode result = JSON.createObjectNode();
      for (Layout layout : Layouts.all()) {
        ArrayNode columns =
            result
                .putObject(layout.name())
                .put("title", layout.title())
                .put("header", layout.header())
                .putArray("columns");
        if (!json) {
          out()
              .println(
                  layout.name()
                      + "\n  "
                      + layout.title()
                      + (layout.header() ? "; with a header" : "; no header"));
        }
        for (Column column : layout.columns()) {
          columns
              .addObject()
              .put("name", column.name())
              .put("kind", column.kind().name().toLowerCase(Locale.ROOT))
              .put("unit", column.unit())
              .put("needed", column.needed())
              .put("meaning", column.meaning());
          if (!json) {
            out()
                .printf(
                    "    %-24s %-6s %-24s %s%n",
                    column.name() + (column.needed() ? " *" : ""),
                    column.kind().name().toLowerCase(Locale.ROOT),
                    column.unit(),
                    column.meaning());
          }
        }
      }
      if (json) {
        print(result);
      } else {
        out().println("* a row without it is rejected");
        out().flush();
      }
      return Tidebank.DONE;
    }
  }

  @Command(
      name = "mapping",
      description = "Prints a layout's default mapping, to start one of your own from.",
      mixinStandardHelpOptions = true)
  static final class MappingCommand extends Told {
    @Parameters(paramLabel = "LAYOUT", description = "see: trace layouts")
    String layout;

    @Override
    public Integer call() throws IOException {
      Layout found = layout(layout);
      if (json) {
        print(
            JSON.createObjectNode()
                .put("layout", found.name())
                .put("mapping", found.defaultMapping()));
      } else {
        out().print(found.defaultMapping());
        out().flush();
      }
      return Tidebank.DONE;
    }
  }

  private static Layout layout(String name) throws Malformed {
    Layout found = Layouts.named(name);
    if (found == null) {
      List<String> known = Layouts.all().stream().map(Layout::name).toList();
      String near = Toml.nearest(name, known);
      throw new Malformed(
          "unknown layout \""
              + name
              + "\""
              + (near == null
                  ? "; known are " + String.join(", ", known)
                  : "; did you mean \"" + near + "\"?"));
    }
    return found;
  }

  @Command(
      name = "sniff",
      description = "Names the likeliest layout of a file, with its evidence.",
      mixinStandardHelpOptions = true)
  static final class Sniff extends Told {
    @Parameters(paramLabel = "FILE", arity = "1", description = "CSV, plain, gzip or zstd")
    Path file;

    @Override
    public Integer call() throws IOException {
      Sniffer.Finding finding = Sniffer.sniff(new Source(List.of(file)));
      ObjectNode result =
          JSON.createObjectNode()
              .put("verdict", finding.verdict())
              .put("layout", finding.best() == null ? null : finding.best().name());
      ArrayNode all = result.putArray("layouts");
      for (Sniffer.Guess guess : finding.all()) {
        ObjectNode one =
            all.addObject().put("name", guess.layout().name()).put("score", guess.score());
        guess.evidence().forEach(one.withArray("evidence")::add);
      }
      if (json) {
        print(result);
      } else {
        out().println(finding.verdict());
        for (Sniffer.Guess guess : finding.all()) {
          if (guess.score() > 0.05) {
            out()
                .printf(
                    Locale.ROOT,
                    "  %.2f %-34s %s%n",
                    guess.score(),
                    guess.layout().name(),
                    String.join("; ", guess.evidence()));
          }
        }
        out().flush();
      }
      return finding.best() == null ? Tidebank.FAILED : Tidebank.DONE;
    }
  }

  @Command(
      name = "import",
      description =
          "Reads CSV into the normal form (Parquet): maps, orders and accounts for every row.",
      mixinStandardHelpOptions = true)
  static final class Import extends Told {
    @Parameters(
        paramLabel = "FILE",
        arity = "1..*",
        description = "CSV, plain, gzip or zstd; read one after another")
    List<Path> files;

    @Option(
        names = {"-o", "--output"},
        required = true,
        paramLabel = "FILE",
        description = "the normal form to write")
    Path output;

    @Option(names = "--layout", paramLabel = "NAME", description = "instead of sniffing")
    String layoutName;

    @Option(
        names = "--mapping",
        paramLabel = "FILE",
        description = "TOML; without one the layout's default")
    Path mappingFile;

    @Option(
        names = "--rejects",
        paramLabel = "FILE",
        description = "rejected lines, with number and cause (default: beside the output)")
    Path rejects;

    @Option(
        names = "--window-rows",
        paramLabel = "N",
        defaultValue = "50000",
        description =
            "rows out of order that are put " + "right in passing (default: ${DEFAULT-VALUE})")
    int window;

    @Option(
        names = "--memory-rows",
        paramLabel = "N",
        defaultValue = "200000",
        description = "rows the sort on disk holds in " + "memory (default: ${DEFAULT-VALUE})")
    int memory;

    @Option(
        names = "--late-s",
        paramLabel = "S",
        description = "reject rows further behind the newest than this (default: none)")
    Double late;

    @Override
    public Integer call() throws IOException {
      if (window < 1 || memory < 1 || late != null && !(late >= 0)) {
        throw wrong("--window-rows and --memory-rows want a number from 1, --late-s one from 0");
      }
      Source source = new Source(files);
      Mapping mapping = mapping(source);
      Path rejectsTo =
          rejects != null ? rejects : output.resolveSibling(output.getFileName() + ".rejects.csv");
      Importer.Result result;
      try (Progress progress = new Progress("lines", 0)) {
        result =
            new Importer(
                    mapping,
                    new Importer.Limits(
                        window,
                        memory,
                        late == null ? Long.MAX_VALUE / 4 : Math.round(late * SECOND_US)),
                    progress)
                .read(source, output, rejectsTo);
      }
      ObjectNode told =
          JSON.createObjectNode()
              .put("output", output.toString())
              .put("layout", mapping.layout().name())
              .put("lines_in", result.tally().linesIn())
              .put("expanded", result.tally().expandedRows())
              .put("rows_out", result.meta().rows())
              .put("seconds", result.meta().seconds())
              .put("sorted_on_disk", result.sortedOnDisk())
              .put("spilled_runs", result.spilledRuns());
      ObjectNode rejected = told.putObject("rejected");
      result.tally().rejected().forEach(rejected::put);
      ObjectNode leftOut = told.putObject("left_out");
      result.tally().leftOut().forEach(leftOut::put);
      if (json) {
        print(told);
      } else {
        out()
            .printf(
                Locale.ROOT,
                "%s: %,d lines%s, %,d requests over %.1f s, to %s%n",
                mapping.layout().name(),
                result.tally().linesIn(),
                result.tally().expandedRows() == 0
                    ? ""
                    : String.format(" (expanding to %,d more rows)", result.tally().expandedRows()),
                result.meta().rows(),
                result.meta().seconds(),
                output);
        result
            .tally()
            .leftOut()
            .forEach((cause, count) -> out().printf("  left out  %,10d  %s%n", count, cause));
        result
            .tally()
            .rejected()
            .forEach((cause, count) -> out().printf("  rejected  %,10d  %s%n", count, cause));
        if (result.sortedOnDisk() > 0) {
          out()
              .printf(
                  "  %,d rows were behind the window and went through the sort on disk%n",
                  result.sortedOnDisk());
        }
        if (result.tally().rejectedRows() > 0 && Files.exists(rejectsTo)) {
          out().println("  rejected lines: " + rejectsTo);
        }
        out().flush();
      }
      return Tidebank.DONE;
    }

    private Mapping mapping(Source source) throws IOException {
      if (mappingFile != null) {
        Mapping mapping = Mapping.read(mappingFile);
        if (layoutName != null && !mapping.layout().name().equals(layoutName)) {
          throw wrong("--layout says " + layoutName + ", the mapping " + mapping.layout().name());
        }
        return mapping;
      }
      if (layoutName != null) {
        return Mapping.standard(layout(layoutName));
      }
      Sniffer.Finding finding = Sniffer.sniff(source);
      if (finding.best() == null) {
        throw new Malformed(source + ": " + finding.verdict());
      }
      return Mapping.standard(finding.best());
    }
  }

  @Command(
      name = "show",
      description = "Shows what a normal form says of itself, and rows of a window.",
      mixinStandardHelpOptions = true)
  static final class Show extends Told {
    @Parameters(paramLabel = "FILE")
    Path file;

    @Option(
        names = "--from-s",
        paramLabel = "S",
        defaultValue = "0",
        description = "rows from here (default: ${DEFAULT-VALUE})")
    double from;

    @Option(
        names = "--rows",
        paramLabel = "N",
        defaultValue = "10",
        description = "so many (default: ${DEFAULT-VALUE})")
    long rows;

    @Override
    public Integer call() throws IOException {
      TraceMeta meta = TraceFile.meta(file);
      ObjectNode told = JSON.valueToTree(meta);
      ArrayNode list = told.putArray("shown");
      if (!json) {
        out()
            .printf(
                Locale.ROOT,
                "%s: %,d rows over %.1f s, %d depots; from %s%n",
                file,
                meta.rows(),
                meta.seconds(),
                meta.depots(),
                meta.source());
        meta.notes().forEach((name, value) -> out().println("  " + name + ": " + value));
      }
      try (TraceFile.Reader reader =
          new TraceFile.Reader(file, Math.round(from * SECOND_US), Long.MAX_VALUE)) {
        for (long i = 0; i < rows && reader.hasNext(); i++) {
          TraceRow row = reader.next().row();
          list.addPOJO(row);
          if (!json) {
            out()
                .printf(
                    Locale.ROOT,
                    "%14.6f s  %-18s depot %3d, %2d parts, weight %.3f, %8.1f ms a part, key %s,"
                        + " account %s%n",
                    row.timeUs() / 1e6,
                    row.tableType(),
                    row.depot(),
                    row.parts(),
                    row.weight(),
                    row.workUs() / 1000.0,
                    row.key(),
                    row.account());
          }
        }
      }
      if (json) {
        print(told);
      }
      out().flush();
      return Tidebank.DONE;
    }
  }

  static TraceStats stats(Iterator<TraceRow> rows, String what, long all) {
    TraceStats stats = new TraceStats();
    try (Progress progress = new Progress(what, all)) {
      for (long i = 0; rows.hasNext(); i++) {
        stats.add(rows.next());
        if ((i & 8191) == 0) {
          progress.accept(i);
        }
      }
    }
    return stats;
  }

  static void printStats(PrintWriter out, String name, TraceStats.Summary summary) {
    out.printf(
        Locale.ROOT,
        "%s: %,d rows over %.1f s, %.2f a second (peak %.0f), %.2f s of work a second%n",
        name,
        summary.rows(),
        summary.seconds(),
        summary.ratePerS(),
        summary.peakPerS(),
        summary.workPerS());
    out.println("  index of dispersion: " + join(summary.dispersion(), "%d s: %.2f"));
    if (!summary.autocorrelation().isEmpty()) {
      out.printf(
          Locale.ROOT,
          "  autocorrelation by second: lag 1 %.2f, lag %d %.2f%n",
          summary.autocorrelation().get(0),
          summary.autocorrelation().size(),
          summary.autocorrelation().get(summary.autocorrelation().size() - 1));
    }
    out.printf(
        Locale.ROOT,
        "  keys: %,d, Zipf exponent %.2f, hottest %.2f%%; hottest depot %.1f%%; accounts: %,d%n",
        summary.keys(),
        summary.zipf(),
        100 * summary.hottestKey(),
        100 * summary.hottestDepot(),
        summary.accounts());
    out.println("  table types: " + join(summary.types(), "%s %.3f"));
    out.println("  between arrivals, ms: " + join(summary.betweenMs(), "p%s %.2f"));
    out.println("  work a part, ms: " + join(summary.workMs(), "p%s %.2f"));
    out.println("  parts: " + join(summary.parts(), "p%s %.0f"));
    out.flush();
  }

  private static String join(Map<?, Double> values, String form) {
    List<String> texts = new ArrayList<>();
    values.forEach(
        (key, value) ->
            texts.add(
                String.format(
                    Locale.ROOT,
                    form,
                    key instanceof Double number && number == Math.rint(number)
                        ? (Object) number.longValue()
                        : key,
                    value)));
    return String.join(", ", texts);
  }

  @Command(
      name = "stats",
      description = "Tells what a trace is like: rate, burstiness, skew, sizes.",
      mixinStandardHelpOptions = true)
  static final class Stats extends Told {
    @Parameters(
        paramLabel = "FILE",
        arity = "1..*",
        description = "normal forms; several are told side by side")
    List<Path> files;

    @Option(names = "--html", paramLabel = "FILE", description = "a page with charts")
    Path html;

    @Override
    public Integer call() throws IOException {
      ObjectNode told = JSON.createObjectNode();
      List<StatsPage.Named> all = new ArrayList<>();
      for (Path file : files) {
        Rows rows = Rows.file(file);
        TraceStats stats = stats(rows.open(), file.getFileName().toString(), (long) rows.count());
        all.add(new StatsPage.Named(file.getFileName().toString(), stats));
        told.set(file.toString(), JSON.valueToTree(stats.summary()));
        if (!json) {
          printStats(out(), file.toString(), stats.summary());
        }
      }
      if (json) {
        print(told);
      }
      if (html != null) {
        Files.writeString(html, StatsPage.of(all));
      }
      return Tidebank.DONE;
    }
  }

  @Command(
      name = "shape",
      description =
          "Shapes a trace: window, time warp, thinning, copies, rate, loop, merge; in this order.",
      mixinStandardHelpOptions = true)
  static final class Shape extends Told {
    @Parameters(paramLabel = "FILE")
    Path file;

    @Option(
        names = {"-o", "--output"},
        required = true,
        paramLabel = "FILE")
    Path output;

    @Option(names = "--from-s", paramLabel = "S", description = "a window from here")
    Double from;

    @Option(names = "--until-s", paramLabel = "S", description = "a window until here")
    Double until;

    @Option(
        names = "--warp",
        paramLabel = "F",
        description = "all times by this: 2 is twice as slow")
    Double warp;

    @Option(names = "--thin", paramLabel = "SHARE", description = "only this share of the rows")
    Double thin;

    @Option(
        names = "--thin-by",
        paramLabel = "ROW|KEY",
        defaultValue = "ROW",
        description = "by row or by key (default: ${DEFAULT-VALUE})")
    Shapes.By by;

    @Option(
        names = "--copies",
        paramLabel = "N",
        description = "so many copies at once, each turned round in time")
    Integer copies;

    @Option(names = "--rate", paramLabel = "R", description = "to this many a second")
    Double rate;

    @Option(
        names = "--rate-by",
        paramLabel = "WARP|COPIES",
        defaultValue = "COPIES",
        description = "how the rate is reached (default: ${DEFAULT-VALUE})")
    Shapes.Scale how;

    @Option(names = "--loop-s", paramLabel = "S", description = "over and over until here")
    Double loop;

    @Option(names = "--merge", paramLabel = "FILE", description = "with these others")
    List<Path> merge = List.of();

    @Option(
        names = "--seed",
        defaultValue = "1",
        description = "of all chance (default: ${DEFAULT-VALUE})")
    long seed;

    @Override
    public Integer call() throws IOException {
      TraceMeta source = TraceFile.meta(file);
      Rows before = Rows.file(file);
      Rows rows = before;
      int depots = source.depots();
      if (from != null || until != null) {
        rows =
            Shapes.window(
                rows,
                from == null ? 0 : Math.round(from * SECOND_US),
                until == null ? Long.MAX_VALUE : Math.round(until * SECOND_US));
      }
      rows = warp == null ? rows : Shapes.warp(rows, warp);
      rows = thin == null ? rows : Shapes.thin(rows, thin, by, seed);
      rows = copies == null ? rows : Shapes.superpose(rows, copies, seed);
      rows = rate == null ? rows : Shapes.scale(rows, rate, how, seed);
      rows = loop == null ? rows : Shapes.loop(rows, Math.round(loop * SECOND_US));
      if (!merge.isEmpty()) {
        List<Rows> all = new ArrayList<>(List.of(rows));
        for (Path other : merge) {
          all.add(Rows.file(other));
          depots = Math.max(depots, TraceFile.meta(other).depots());
        }
        rows = Shapes.merge(all);
      }
      TraceMeta meta =
          new TraceMeta(
                  source.schema(),
                  source.source(),
                  source.sourceDigest(),
                  source.mappingDigest(),
                  0,
                  0,
                  0,
                  "",
                  depots,
                  source.notes())
              .note("shaped", String.join(" ", spec.commandLine().getParseResult().originalArgs()))
              .note("seed", seed);
      TraceStats after = write(rows.open(), meta, output, (long) rows.count());
      TraceStats.Summary old = stats(before.open(), "reading", source.rows()).summary();
      if (json) {
        ObjectNode told = JSON.createObjectNode();
        told.set("before", JSON.valueToTree(old));
        told.set("after", JSON.valueToTree(after.summary()));
        print(told);
      } else {
        printStats(out(), "before", old);
        printStats(out(), "after", after.summary());
      }
      return Tidebank.DONE;
    }
  }

  static TraceStats write(Iterator<TraceRow> rows, TraceMeta meta, Path output, long all)
      throws IOException {
    TraceStats stats = new TraceStats();
    long count = 0;
    try (TraceFile.Writer writer = new TraceFile.Writer(output, meta);
        Progress progress = new Progress("written", all)) {
      while (rows.hasNext()) {
        TraceRow row = rows.next();
        writer.add(new Item(row, 0));
        stats.add(row);
        if ((count++ & 8191) == 0) {
          progress.accept(count);
        }
      }
      if (count == 0) {
        throw new IOException("no row is left");
      }
      writer.finish();
    }
    return stats;
  }

  @Command(
      name = "synth",
      description =
          "Fits arrivals, popularity and sizes to a trace, makes one of any length, and says how"
              + " far off it is.",
      mixinStandardHelpOptions = true)
  static final class Synth extends Told {
    @Parameters(paramLabel = "FILE")
    Path file;

    @Option(
        names = {"-o", "--output"},
        required = true,
        paramLabel = "FILE")
    Path output;

    @Option(
        names = "--seconds",
        required = true,
        paramLabel = "S",
        description = "how long it is to be")
    int seconds;

    @Option(
        names = "--seed",
        defaultValue = "1",
        description = "of all chance (default: ${DEFAULT-VALUE})")
    long seed;

    @Override
    public Integer call() throws IOException {
      if (seconds < 1) {
        throw wrong("--seconds wants a number from 1");
      }
      TraceMeta source = TraceFile.meta(file);
      Synthesis synthesis = new Synthesis();
      try (Progress progress = new Progress("learning", source.rows())) {
        long count = 0;
        for (Iterator<TraceRow> rows = Rows.file(file).open(); rows.hasNext(); ) {
          synthesis.learn(rows.next());
          if ((count++ & 8191) == 0) {
            progress.accept(count);
          }
        }
      }
      synthesis.learned();
      TraceMeta meta =
          TraceMeta.fresh("made after " + file.getFileName(), "", "", source.depots())
              .note("seed", seed);
      TraceStats made = write(synthesis.rows(seconds, seed), meta, output, 0);
      Map<String, double[]> off = Synthesis.off(synthesis.original(), made.summary());
      ObjectNode told = JSON.createObjectNode().put("output", output.toString());
      told.set("arrivals", JSON.valueToTree(synthesis.arrivals()));
      ObjectNode table = told.putObject("off");
      if (!json) {
        out()
            .printf(
                Locale.ROOT,
                "arrivals: %d hidden states, rates %s a second%n",
                synthesis.arrivals().rates().length,
                String.join(
                    ", ",
                    java.util.Arrays.stream(synthesis.arrivals().rates())
                        .mapToObj(r -> String.format(Locale.ROOT, "%.2f", r))
                        .toList()));
        out().printf("%-28s %12s %12s %8s%n", "", "original", "made", "off by");
      }
      off.forEach(
          (name, values) -> {
            table
                .putObject(name)
                .put("original", values[0])
                .put("made", values[1])
                .put("off", values[2]);
            if (!json) {
              out()
                  .printf(
                      Locale.ROOT,
                      "%-28s %12.3f %12.3f %+7.1f%%%n",
                      name,
                      values[0],
                      values[1],
                      100 * values[2]);
            }
          });
      if (json) {
        print(told);
      }
      out().flush();
      return Tidebank.DONE;
    }
  }

  @Command(
      name = "replay",
      description =
          "Replays a trace through real gatherers on loopback and reports service and rules.",
      mixinStandardHelpOptions = true,
      footer = {
        "",
        "Ctrl-C ends the sending and reports what was sent; a second one ends at once.",
        "Exit code 1: a rule was broken, or a gatherer did not end with 0."
      })
  static final class ReplayCommand extends Told {
    @Parameters(paramLabel = "FILE", description = "a normal form; see: trace import")
    Path file;

    @Option(
        names = "--gatherers",
        paramLabel = "N",
        defaultValue = "2",
        description = "processes (default: ${DEFAULT-VALUE})")
    int gatherers;

    @Option(
        names = "--servers",
        paramLabel = "M",
        defaultValue = "12",
        description = "stand-in shard servers (default: ${DEFAULT-VALUE})")
    int servers;

    @Option(
        names = "--site",
        paramLabel = "FILE",
        description = "table types, layout, limits and rules as TOML (default: built in)")
    Path site;

    @Option(
        names = "--from-s",
        paramLabel = "S",
        defaultValue = "0",
        description = "a window from here (default: ${DEFAULT-VALUE})")
    double from;

    @Option(
        names = "--seconds",
        paramLabel = "S",
        description = "only so many seconds of the trace, before any rate")
    Double seconds;

    @Option(names = "--rate", paramLabel = "R", description = "to this many scans a second")
    Double rate;

    @Option(
        names = "--rate-by",
        paramLabel = "WARP|COPIES",
        defaultValue = "WARP",
        description = "how the rate is reached (default: ${DEFAULT-VALUE})")
    Shapes.Scale how;

    @Option(
        names = "--incident",
        paramLabel = "S:KIND:N",
        description =
            "at second S this happens to server or gatherer N: server-drains, server-dies,"
                + " roster-gone, server-back, server-silent, server-speaks, gatherer-killed,"
                + " gatherer-restarted; may be given often")
    List<String> incidents = List.of();

    @Option(
        names = "--capture",
        description = "has each gatherer record what it is told, in the run's folder")
    boolean capture;

    @Option(
        names = "--seed",
        defaultValue = "1",
        description = "of all chance (default: ${DEFAULT-VALUE})")
    long seed;

    @Option(
        names = "--runs",
        defaultValue = "runs",
        paramLabel = "FOLDER",
        description = "where results are kept (default: ${DEFAULT-VALUE})")
    Path runs;

    @Override
    public Integer call() throws IOException {
      if (gatherers < 1 || gatherers > 64 || servers < 1 || servers > 256) {
        throw wrong("--gatherers wants 1 to 64, --servers 1 to 256");
      }
      Site where = site == null ? Site.standard() : Site.read(site);
      Rows rows = Rows.file(file);
      if (from > 0 || seconds != null) {
        rows =
            Shapes.window(
                rows,
                Math.round(from * SECOND_US),
                seconds == null ? Long.MAX_VALUE : Math.round((from + seconds) * SECOND_US));
      }
      rows = rate == null ? rows : Shapes.scale(rows, rate, how, seed);
      List<Incident> script = new ArrayList<>();
      for (String text : incidents) {
        script.add(incident(text));
      }
      return Playing.play(
          new Replay.Plan(where, gatherers, servers, seed, script),
          rows.open(),
          (long) rows.count(),
          file.getFileName().toString().replaceAll("\\.parquet$", ""),
          runs,
          json,
          capture,
          out());
    }

    private Incident incident(String text) {
      String[] words = text.split(":");
      try {
        Incident.Kind kind =
            Incident.Kind.valueOf(words[1].toUpperCase(Locale.ROOT).replace('-', '_'));
        int number = Integer.parseInt(words[2]);
        int most = kind.name().startsWith("GATHERER") ? gatherers : servers;
        if (words.length == 3 && number >= 0 && number < most) {
          return new Incident(Math.round(Double.parseDouble(words[0]) * SECOND_US), kind, number);
        }
      } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException fault) {
        // Told below.
      }
      throw wrong(
          "--incident: found "
              + text
              + ", wanted S:KIND:N such as 12.5:server-dies:3, N below the number of "
              + "servers or gatherers");
    }
  }

  @Command(
      name = "compare",
      description =
          "Puts two replays side by side, with how much of their difference may be noise.",
      mixinStandardHelpOptions = true)
  static final class Compare extends Told {
    @Parameters(index = "0", paramLabel = "RUN", description = "a folder below runs/")
    Path first;

    @Parameters(index = "1", paramLabel = "RUN")
    Path second;

    @Override
    public Integer call() throws IOException {
      Comparison comparison = Comparison.of(first, second);
      if (json) {
        print(JSON.valueToTree(comparison));
      } else {
        out().printf("%-34s %10s %10s %10s%n", "", "first", "second", "difference");
        comparison
            .rows()
            .forEach(
                row ->
                    out()
                        .printf(
                            Locale.ROOT,
                            "%-34s %10.3f %10.3f %+10.3f%n",
                            row.name(),
                            row.first(),
                            row.second(),
                            row.second() - row.first()));
        out()
            .printf(
                Locale.ROOT,
                "service differs by %+.3f, 95%% of resampled stretches of 10 s within %+.3f to"
                    + " %+.3f: %s%n",
                comparison.difference(),
                comparison.low(),
                comparison.high(),
                comparison.verdict());
        out().flush();
      }
      return Tidebank.DONE;
    }
  }
}
