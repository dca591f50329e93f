package tidebank.testbed.chaos;

import tidebank.testbed.chaos.History.TimelineEvent;
import tidebank.testbed.chaos.ScriptRunner.Verdict;

/** The HTML report of a run. */
final class RunReport {
  private static final double US_PER_S = 1e6;
  private static final String STYLE =
      "body{font-family:sans-serif;margin:2em;max-width:75em}td,th{text-align:left;padding:2px 12px"
          + " 2px 0}pre{background:#f4f4f4;padding:1em;overflow:auto}";

  private RunReport() {}

  /**
   * Returns the HTML page.
   *
   * @param timeline timeline as an SVG element
   * @param replayCommand command line that repeats the run
   * @param scriptText script as TOML
   */
  static String render(
      Script script,
      History history,
      Verdict verdict,
      String timeline,
      String replayCommand,
      String scriptText) {
    StringBuilder page = new StringBuilder();
    appendHead(page, script, verdict);
    appendVerdict(page, verdict, replayCommand);
    page.append(timeline);
    appendEvents(page, history);
    return page.append("<h2>Script</h2>\n<pre>")
        .append(Markup.escape(scriptText))
        .append("</pre>\n</body></html>\n")
        .toString();
  }

  private static void appendHead(StringBuilder page, Script script, Verdict verdict) {
    String name = Markup.escape(script.name());
    page.append("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
        .append(name)
        .append("</title><style>")
        .append(STYLE)
        .append("</style></head><body>\n<h1>")
        .append(name)
        .append(verdict.passed() ? ": all rules hold" : ": rules broken")
        .append("</h1>\n<p>")
        .append(Markup.escape(script.description()))
        .append("</p>\n");
  }

  private static void appendVerdict(StringBuilder page, Verdict verdict, String replayCommand) {
    if (!verdict.passed()) {
      page.append("<ul>\n");
      for (String violation : verdict.violations()) {
        page.append("<li>").append(Markup.escape(violation)).append("</li>\n");
      }
      page.append("</ul>\n");
    }
    page.append(
        String.format(
            "<p>%.1f s; %d commands and %d reads checked; %d reports published; %d queries sent, %d"
                + " of them counted in reports. Repeat with: <code>%s</code></p>%n",
            verdict.durationUs() / US_PER_S,
            verdict.commands(),
            verdict.reads(),
            verdict.publications(),
            verdict.queriesSent(),
            verdict.queriesCounted(),
            replayCommand));
    if (!verdict.unownedIntervals().isEmpty()) {
      page.append("<p>Intervals without a holder of the report task, by fault: ")
          .append(UnownedIntervals.describe(verdict.unownedIntervals()))
          .append("</p>\n");
    }
  }

  private static void appendEvents(StringBuilder page, History history) {
    page.append(
        "<p>Blue bars: leases of the report task, from the claim to the last renewal. Green dots:"
            + " publications. Red dots: rejected publications. Red lines: events.</p>\n"
            + "<table><tr><th>Time</th><th>Process</th><th>Event</th></tr>\n");
    for (TimelineEvent event : history.events()) {
      page.append(
          String.format(
              "<tr><td>%.3f s</td><td>%s</td><td>%s</td></tr>%n",
              event.at() / US_PER_S,
              Markup.escape(event.process()),
              Markup.escape(event.description())));
    }
    page.append("</table>\n");
  }
}
