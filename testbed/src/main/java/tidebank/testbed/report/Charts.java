package tidebank.testbed.report;

import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Line charts as SVG text, to stand in a page that needs nothing else. */
public final class Charts {
  private static final int WIDTH = 880;
  private static final int HEIGHT = 280;

  /** Told apart also by those who see few colours. */
  private static final Color[] COLOURS = {
    new Color(0, 114, 178),
    new Color(213, 94, 0),
    new Color(0, 158, 115),
    new Color(204, 121, 167),
    new Color(86, 180, 233),
    new Color(230, 159, 0)
  };

  /** A line: x to y, in order of x. */
  public record Line(String name, Map<? extends Number, Double> points) {}

  private Charts() {}

  public static String lines(
      String title, String x, String y, boolean logX, boolean logY, List<Line> lines) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle(x)
            .yAxisTitle(y)
            .build();
    chart
        .getStyler()
        .setMarkerSize(0)
        .setChartBackgroundColor(Color.WHITE)
        .setLegendPosition(Styler.LegendPosition.OutsideE)
        .setLegendVisible(lines.size() > 1);
    chart.getStyler().setXAxisLogarithmic(logX).setYAxisLogarithmic(logY).setSeriesColors(COLOURS);
    boolean any = false;
    for (Line line : lines) {
      List<Double> xs = new ArrayList<>();
      List<Double> ys = new ArrayList<>();
      line.points.forEach(
          (at, value) -> {
            boolean fits =
                value != null
                    && Double.isFinite(value)
                    && (!logX || at.doubleValue() > 0)
                    && (!logY || value > 0);
            if (fits) {
              xs.add(at.doubleValue());
              ys.add(value);
            }
          });
      if (!xs.isEmpty()) {
        any = true;
        chart.addSeries(line.name, xs, ys).setMarker(SeriesMarkers.NONE);
      }
    }
    if (!any) {
      return "<p>" + title + ": nothing to draw.</p>";
    }
    try {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
      String svg = out.toString(StandardCharsets.UTF_8);
      // Only the element itself may stand in a page, without the file's head.
      return svg.substring(svg.indexOf("<svg"));
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
  }
}
