package tidebank.testbed.chaos;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.testbed.chaos.History.RecordedCommand;
import tidebank.testbed.chaos.History.TimelineEvent;
import tidebank.testbed.chaos.ScriptRunner.Verdict;

/**
 * The timeline of a run as SVG. Each process has a lane with its events, its leases of the report
 * task and its publications.
 */
final class TimelineSvg {
  private static final int LEFT_MARGIN_PX = 90;
  private static final int PLOT_WIDTH_PX = 1000;
  private static final int RIGHT_MARGIN_PX = 20;
  private static final int LANE_HEIGHT_PX = 34;
  private static final int TOP_MARGIN_PX = 20;
  private static final int BOTTOM_MARGIN_PX = 30;

  private final StringBuilder svg = new StringBuilder();
  private final History history;
  private final List<String> processes = new ArrayList<>();
  private final double pxPerUs;
  private final int heightPx;

  private TimelineSvg(Script script, History history, Verdict verdict) {
    this.history = history;
    for (int i = 0; i < script.coordinators(); i++) {
      processes.add("s" + i);
    }
    for (int i = 0; i < script.members(); i++) {
      processes.add("g" + i);
    }
    pxPerUs = PLOT_WIDTH_PX / (double) Math.max(1, verdict.durationUs());
    heightPx = (processes.size() + 1) * LANE_HEIGHT_PX + BOTTOM_MARGIN_PX;
  }

  /** Returns the timeline as an SVG element. */
  static String render(Script script, History history, Verdict verdict) {
    return new TimelineSvg(script, history, verdict).render();
  }

  private String render() {
    svg.append(
        String.format(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                + " font-family=\"sans-serif\" font-size=\"11\">\n",
            LEFT_MARGIN_PX + PLOT_WIDTH_PX + RIGHT_MARGIN_PX, heightPx));
    drawLanes();
    leasesByToken().forEach(this::drawLease);
    history.commands().forEach(this::drawPublication);
    drawEvents();
    return svg.append("</svg>\n").toString();
  }

  private int laneY(String process) {
    return TOP_MARGIN_PX + processes.indexOf(process) * LANE_HEIGHT_PX;
  }

  private double x(long us) {
    return LEFT_MARGIN_PX + us * pxPerUs;
  }

  private void drawLanes() {
    for (String process : processes) {
      int y = laneY(process);
      svg.append(
          String.format(
              "<text x=\"8\" y=\"%d\">%s</text><line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\""
                  + " stroke=\"#ccc\"/>%n",
              y + 4, process, LEFT_MARGIN_PX, y, LEFT_MARGIN_PX + PLOT_WIDTH_PX, y));
    }
  }

  /**
   * A lease of the report task. Times are microseconds of the history.
   *
   * @param holder name of the process that holds the task
   * @param from time at which the claim was sent
   * @param until time at which the last renewal returned
   */
  private record Lease(String holder, long from, long until) {
    private Lease withUntil(long newUntil) {
      return new Lease(holder, from, newUntil);
    }
  }

  private Map<Long, Lease> leasesByToken() {
    Map<Long, Lease> byToken = new LinkedHashMap<>();
    for (RecordedCommand command : history.commands()) {
      if (command.result() != null && command.result().leases() != null) {
        command.result().leases().stream()
            .filter(lease -> lease.task().equals("report"))
            .forEach(
                lease ->
                    byToken.merge(
                        lease.fencingToken(),
                        new Lease(command.from(), command.calledAt(), command.returnedAt()),
                        (first, last) -> first.withUntil(last.until())));
      }
    }
    return byToken;
  }

  private void drawLease(long token, Lease lease) {
    svg.append(
        String.format(
            "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"8\" fill=\"#4a90c2\""
                + " opacity=\"0.6\"><title>report, token %d</title></rect>%n",
            x(lease.from()),
            laneY(lease.holder()) - 4,
            Math.max(1, (lease.until() - lease.from()) * pxPerUs),
            token));
  }

  private void drawPublication(RecordedCommand command) {
    if (command.command().kind() != Kind.PUBLISH || command.result() == null) {
      return;
    }
    boolean published = command.result().error() == null;
    svg.append(
        String.format(
            "<circle cx=\"%.1f\" cy=\"%d\" r=\"3\" fill=\"%s\"><title>%s:"
                + " %s</title></circle>%n",
            x(command.returnedAt()),
            laneY(command.from()),
            published ? "#2a7d3f" : "#c0392b",
            Markup.escape(command.command().value()),
            published ? "published" : command.result().error().code()));
  }

  private void drawEvents() {
    boolean labelBelow = false;
    for (TimelineEvent event : history.events()) {
      int y = processes.contains(event.process()) ? laneY(event.process()) : heightPx - 24;
      double x = x(event.at());
      // Labels alternate between above and below the lane, so that neighbors do not overlap.
      svg.append(
          String.format(
              "<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" stroke=\"#c0392b\"/>"
                  + "<text x=\"%.1f\" y=\"%d\" fill=\"#c0392b\" font-size=\"9\">%s</text>%n",
              x,
              y - 8,
              x,
              y + 8,
              x + 2,
              y - 8 + (labelBelow ? 24 : 0),
              Markup.escape(event.description())));
      labelBelow = !labelBelow;
    }
  }
}
