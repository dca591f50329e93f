package tidebank.testbed.chaos;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tidebank.errors.TidebankException;
import tidebank.fleet.LeaseJson;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.testbed.chaos.History.Asked;
import tidebank.testbed.chaos.History.Event;
import tidebank.testbed.chaos.ScriptRunner.Verdict;

/**
 * What is left of a run: script, verdict, history, a timeline as a picture, and a page of them.
 * Logs stand beside.
 */
public final class RunArtifacts {
  private static final ObjectMapper JSON = LeaseJson.configure(new ObjectMapper());
  private static final int LEFT = 90;
  private static final int WIDTH = 1000;
  private static final int LANE = 34;

  private RunArtifacts() {}

  static void write(Path folder, Script script, History history, Verdict verdict)
      throws IOException {
    try (BufferedWriter out = Files.newBufferedWriter(folder.resolve("history.jsonl"))) {
      for (Event event : history.events()) {
        line(out, "event", event);
      }
      for (Asked asked : history.asked()) {
        line(out, "asked", asked);
      }
      for (History.Read read : history.reads()) {
        line(out, "read", read);
      }
    }
    Files.writeString(
        folder.resolve("verdict.json"),
        JSON.writerWithDefaultPrettyPrinter().writeValueAsString(verdict));
    String picture = picture(script, history, verdict);
    Files.writeString(folder.resolve("timeline.svg"), picture);
    Files.writeString(
        folder.resolve("report.html"), page(folder, script, history, verdict, picture));
  }

  private static void line(BufferedWriter out, String kind, Object value) throws IOException {
    out.write(JSON.writeValueAsString(Map.of(kind, value)));
    out.newLine();
  }

  /** How to play the run of a folder again. */
  public static String again(Verdict verdict, Path folder) throws IOException {
    return "bin/tidebank chaos run "
        + (verdict.script().equals("seed-" + verdict.seed())
            ? "--seed " + verdict.seed()
            : Script.known().contains(verdict.script())
                ? verdict.script()
                : folder.resolve("script.toml").toString());
  }

  /** The verdict of a run's folder. */
  public static Verdict verdict(Path folder) throws IOException {
    Path file = folder.resolve("verdict.json");
    if (!Files.isRegularFile(file)) {
      throw new TidebankException.RunUnknown(folder.toString());
    }
    return JSON.readValue(file.toFile(), Verdict.class);
  }

  // ---- the picture

  /** A lane a process: what was done to it, when it owned the report, and what it published. */
  private static String picture(Script script, History history, Verdict verdict) {
    Set<String> lanes = new LinkedHashSet<>();
    for (int i = 0; i < script.stewards(); i++) {
      lanes.add("s" + i);
    }
    for (int i = 0; i < script.members(); i++) {
      lanes.add("g" + i);
    }
    List<String> names = new ArrayList<>(lanes);
    double scale = WIDTH / (double) Math.max(1, verdict.took());
    int height = (names.size() + 1) * LANE + 30;
    StringBuilder svg =
        new StringBuilder(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
                + (LEFT + WIDTH + 20)
                + "\" height=\""
                + height
                + "\" font-family=\"sans-serif\" font-size=\"11\">\n");
    for (int i = 0; i < names.size(); i++) {
      int y = 20 + i * LANE;
      svg.append(
          String.format(
              "<text x=\"8\" y=\"%d\">%s</text><line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\""
                  + " stroke=\"#ccc\"/>%n",
              y + 4, names.get(i), LEFT, y, LEFT + WIDTH, y));
    }
    owned(history)
        .forEach(
            (token, held) -> {
              int lane = names.indexOf(held.from());
              svg.append(
                  String.format(
                      "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"8\" fill=\"#4a90c2\""
                          + " opacity=\"0.6\"><title>report, token %d</title></rect>%n",
                      LEFT + held.call() * scale,
                      16 + lane * LANE,
                      Math.max(1, (held.back() - held.call()) * scale),
                      token));
            });
    for (Asked one : history.asked()) {
      if (one.command().kind() == Kind.PUBLISH && one.answer() != null) {
        boolean done = one.answer().error() == null;
        svg.append(
            String.format(
                "<circle cx=\"%.1f\" cy=\"%d\" r=\"3\" fill=\"%s\"><title>%s:"
                    + " %s</title></circle>%n",
                LEFT + one.back() * scale,
                20 + names.indexOf(one.from()) * LANE,
                done ? "#2a7d3f" : "#c0392b",
                escaped(one.command().value()),
                done ? "published" : one.answer().error().code()));
      }
    }
    int shift = 0;
    for (Event event : history.events()) {
      int lane = names.indexOf(event.who());
      int y = lane < 0 ? height - 24 : 20 + lane * LANE;
      double x = LEFT + event.at() * scale;
      svg.append(
          String.format(
              "<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" stroke=\"#c0392b\"/>"
                  + "<text x=\"%.1f\" y=\"%d\" fill=\"#c0392b\" font-size=\"9\">%s</text>%n",
              x, y - 8, x, y + 8, x + 2, y - 8 + shift % 2 * 24, escaped(event.what())));
      shift++;
    }
    return svg.append("</svg>\n").toString();
  }

  /** For each token of the report, from its grant to its last renewal. */
  private static Map<Long, Asked> owned(History history) {
    Map<Long, Asked> owned = new LinkedHashMap<>();
    for (Asked one : history.asked()) {
      if (one.answer() != null && one.answer().leases() != null) {
        one.answer().leases().stream()
            .filter(grant -> grant.task().equals("report"))
            .forEach(
                grant ->
                    owned.merge(
                        grant.fencingToken(),
                        one,
                        (first, last) ->
                            new Asked(
                                first.from(),
                                first.command(),
                                first.call(),
                                last.back(),
                                last.answer(),
                                1)));
      }
    }
    return owned;
  }

  private static String escaped(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }

  private static String page(
      Path folder, Script script, History history, Verdict verdict, String picture)
      throws IOException {
    StringBuilder page =
        new StringBuilder(
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
                + escaped(script.name())
                + "</title><style>body{font-family:sans-serif;margin:2em;max-width:75em}"
                + "td,th{text-align:left;padding:2px"
                + " 12px 2px"
                + " 0}pre{background:#f4f4f4;padding:1em;overflow:auto}</style></head><body>\n"
                + "<h1>"
                + escaped(script.name())
                + (verdict.held() ? ": all held" : ": broken")
                + "</h1>\n<p>"
                + escaped(script.about())
                + "</p>\n");
    if (!verdict.held()) {
      page.append("<ul>\n");
      verdict.broken().forEach(one -> page.append("<li>").append(escaped(one)).append("</li>\n"));
      page.append("</ul>\n");
    }
    page.append(
        String.format(
            "<p>%.1f s; %d commands and %d reads looked at; %d reports published; %d scans sent, %d"
                + " of them counted. Again: <code>%s</code></p>%n",
            verdict.took() / 1e6,
            verdict.commands(),
            verdict.reads(),
            verdict.publications(),
            verdict.scans(),
            verdict.counted(),
            again(verdict, folder)));
    if (!verdict.gaps().isEmpty()) {
      page.append("<p>Without an owner of the report, after ")
          .append(UnownedIntervals.said(verdict.gaps()))
          .append("</p>\n");
    }
    page.append(picture)
        .append(
            "<p>Blue: from the grant of the report to its last renewal. Green: published; red:"
                + " refused.</p>\n"
                + "<table><tr><th>at</th><th>to</th><th>what</th></tr>\n");
    for (Event event : history.events()) {
      page.append(
          String.format(
              "<tr><td>%.3f s</td><td>%s</td><td>%s</td></tr>%n",
              event.at() / 1e6, escaped(event.who()), escaped(event.what())));
    }
    return page.append("</table>\n<h2>Script</h2>\n<pre>")
        .append(escaped(Files.readString(folder.resolve("script.toml"))))
        .append("</pre>\n</body></html>\n")
        .toString();
  }
}
