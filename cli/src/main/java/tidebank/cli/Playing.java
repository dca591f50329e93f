package tidebank.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import sun.misc.Signal;
import tidebank.testbed.account.RuleAudit;
import tidebank.testbed.account.ServiceScore;
import tidebank.testbed.replay.Replay;
import tidebank.testbed.report.RunFolder;
import tidebank.testbed.trace.TraceRow;

/** Plays rows, keeps what came of it and tells it. */
final class Playing {
  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  private Playing() {}

  /**
   * Plays and reports. The first Ctrl-C ends the sending and accounts for what was sent; the second
   * ends all at once.
   *
   * @return the exit code: 0 if all rules were kept
   */
  static int play(
      Replay.Plan plan,
      Iterator<TraceRow> rows,
      long count,
      String trace,
      Path runs,
      boolean json,
      boolean capture,
      PrintWriter out)
      throws IOException {
    Map<String, Object> manifest = new LinkedHashMap<>();
    manifest.put("trace", trace);
    manifest.put("gatherers", plan.routers());
    manifest.put("servers", plan.servers());
    manifest.put("seed", plan.seed());
    manifest.put("site", plan.deployment().toString());
    manifest.put("incidents", plan.incidents().toString());
    manifest.put(
        "commit", RunFolder.readHeadCommit(Path.of(System.getProperty("tidebank.home", "."))));
    manifest.put("java", System.getProperty("java.runtime.version"));
    manifest.put(
        "machine",
        System.getProperty("os.name")
            + " "
            + System.getProperty("os.arch")
            + ", "
            + Runtime.getRuntime().availableProcessors()
            + " cores");
    try (RunFolder folder = RunFolder.create(runs, trace);
        Progress progress = new Progress("sent", count)) {
      Replay replay =
          new Replay(
              capture ? plan.withCaptureFolder(folder.folder().resolve("capture")) : plan,
              folder::add,
              progress);
      AtomicInteger interrupts = new AtomicInteger();
      Signal.handle(
          new Signal("INT"),
          signal -> {
            if (interrupts.incrementAndGet() == 1) {
              System.err.println("\ntidebank: ending; again to end at once");
              replay.interrupt();
            } else {
              replay.kill();
              Runtime.getRuntime().halt(Tidebank.FAILED);
            }
          });
      Replay.Outcome outcome = replay.run(rows);
      manifest.put("interrupted", interrupts.get() > 0);
      ObjectNode report = folder.finish(outcome, manifest);
      progress.close();
      if (json) {
        report.put("folder", folder.folder().toString());
        out.println(JSON.writeValueAsString(report));
      } else {
        print(outcome, folder.folder(), out);
      }
      out.flush();
      return outcome.hasNoViolations()
              && outcome.exitCodes().values().stream().allMatch(code -> code == 0)
          ? Tidebank.DONE
          : Tidebank.FAILED;
    }
  }

  private static void print(Replay.Outcome outcome, Path folder, PrintWriter out) {
    ServiceScore.Summary figures = outcome.scoreSummary();
    out.printf(
        Locale.ROOT,
        "%,d scans in %.1f s, %,d dispatches at the shard servers%n",
        figures.queries(),
        outcome.durationS(),
        outcome.attempts());
    figures
        .countByOutcome()
        .forEach(
            (end, number) ->
                out.printf(
                    Locale.ROOT,
                    "  %-15s %,8d%n",
                    end.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    number));
    out.printf(
        Locale.ROOT,
        "service %.3f; worst 10 s %.3f (from second %d); worst table type %.3f%s; worst account"
            + " %.3f%s%n",
        figures.wholeRun(),
        figures.worstWindow(),
        figures.worstWindowFromS(),
        figures.worstClass(),
        named(figures.worstClassName()),
        figures.worstTenant(),
        named(figures.worstTenantName()));
    out.printf(Locale.ROOT, "score %.3f%n", figures.score());
    out.printf(
        Locale.ROOT,
        "answers: median %.1f ms, 99%% within %.1f ms; the sender was late by %.1f ms at 99%%, %.1f"
            + " at most%n",
        outcome.latency().getValueAtPercentile(50) / 1000.0,
        outcome.latency().getValueAtPercentile(99) / 1000.0,
        outcome.lateness().getValueAtPercentile(99) / 1000.0,
        outcome.lateness().getMaxValue() / 1000.0);
    if (outcome.hasNoViolations()) {
      out.printf(
          Locale.ROOT, "all six rules kept, checked over %,d tries%n", outcome.checkedQueries());
    } else {
      out.println("RULES BROKEN: " + outcome.violationsByRule());
      for (RuleAudit.Violation broken :
          outcome.violations().subList(0, Math.min(10, outcome.violations().size()))) {
        out.println("  rule " + broken.rule() + ": " + broken.description());
      }
    }
    outcome
        .exitCodes()
        .forEach(
            (name, code) -> {
              if (code != 0) {
                out.println("gatherer " + name + " ended with " + code);
              }
            });
    out.println("report: " + folder.resolve("report.html"));
    if (Files.isDirectory(folder.resolve("capture"))) {
      out.println("captures: " + folder.resolve("capture") + "/g0 and on; see: capture replay");
    }
  }

  private static String named(String name) {
    return name.isEmpty() ? "" : " (" + name + ")";
  }
}
