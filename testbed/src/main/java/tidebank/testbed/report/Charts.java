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

/** Renders line charts as SVG elements, for HTML pages without external resources. */
public final class Charts {
  private static final int WIDTH = 880;
  private static final int HEIGHT = 280;

  /** Distinguishable also with impaired colour vision. */
  private static final Color[] COLOURS = {
    new Color(0, 114, 178),
    new Color(213, 94, 0),
    new Color(0, 158, 115),
    new Color(204, 121, 167),
    new Color(86, 180, 233),
    new Color(230, 159, 0)
  };

  /** A data series: y by x, in order of x. */
  public record Series(String name, Map<? extends Number, Double> points) {}

  private Charts() {}

  /**
   * Returns a line chart as an SVG element, or a paragraph of text if there are no points to draw.
   * Points that are missing, not finite, or not above 0 on a logarithmic axis are left out.
   */
  public static String renderLineChart(
      String title,
      String xAxisTitle,
      String yAxisTitle,
      boolean logX,
      boolean logY,
      List<Series> allSeries) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle(xAxisTitle)
            .yAxisTitle(yAxisTitle)
            .build();
    chart
        .getStyler()
        .setMarkerSize(0)
        .setChartBackgroundColor(Color.WHITE)
        .setLegendPosition(Styler.LegendPosition.OutsideE)
        .setLegendVisible(allSeries.size() > 1);
    chart.getStyler().setXAxisLogarithmic(logX).setYAxisLogarithmic(logY).setSeriesColors(COLOURS);
    boolean hasPoints = false;
    for (Series series : allSeries) {
      List<Double> xs = new ArrayList<>();
      List<Double> ys = new ArrayList<>();
      series.points.forEach(
          (x, y) -> {
            boolean isDrawable =
                y != null
                    && Double.isFinite(y)
                    && (!logX || x.doubleValue() > 0)
                    && (!logY || y > 0);
            if (isDrawable) {
              xs.add(x.doubleValue());
              ys.add(y);
            }
          });
      if (!xs.isEmpty()) {
        hasPoints = true;
        chart.addSeries(series.name, xs, ys).setMarker(SeriesMarkers.NONE);
      }
    }
    if (!hasPoints) {
      return "<p>" + title + ": no data.</p>";
    }
    try {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
      String svg = out.toString(StandardCharsets.UTF_8);
      // An HTML page may contain only the element itself, without the XML declaration and doctype.
      return svg.substring(svg.indexOf("<svg"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
