package tidebank.testbed.report;

import java.util.List;

/** Builds a self-contained HTML page of text, tables and SVG charts, without scripts. */
public final class Page {
  private static final String STYLE =
      "body{font:15px/1.5 system-ui,sans-serif;max-width:62em;margin:2em auto;padding:0"
          + " 1em;color:#222}table{border-collapse:collapse;margin:1em 0}td,th{border-bottom:1px"
          + " solid #ddd;padding:.25em .8em;"
          + "text-align:right}td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}"
          + ".bad{color:#b00020;font-weight:600}.good{color:#00695c}";
  private final StringBuilder body = new StringBuilder();
  private final String title;

  /** Creates a page with a title, which is also its first heading. */
  public Page(String title) {
    this.title = title;
    body.append("<h1>").append(escape(title)).append("</h1>\n");
  }

  /** Appends a second-level heading. */
  public Page heading(String text) {
    body.append("<h2>").append(escape(text)).append("</h2>\n");
    return this;
  }

  /** Appends a paragraph. */
  public Page text(String text) {
    body.append("<p>").append(escape(text)).append("</p>\n");
    return this;
  }

  /** Appends a highlighted paragraph that states a good or a bad result. */
  public Page verdict(boolean good, String text) {
    body.append("<p class=\"")
        .append(good ? "good" : "bad")
        .append("\">")
        .append(escape(text))
        .append("</p>\n");
    return this;
  }

  /** Appends a table with a header row. */
  public Page table(List<String> header, List<List<String>> rows) {
    body.append("<table><tr>");
    header.forEach(cell -> body.append("<th>").append(escape(cell)).append("</th>"));
    body.append("</tr>\n");
    for (List<String> row : rows) {
      body.append("<tr>");
      row.forEach(cell -> body.append("<td>").append(escape(cell)).append("</td>"));
      body.append("</tr>\n");
    }
    body.append("</table>\n");
    return this;
  }

  /** Appends a chart rendered by {@link Charts}, without escaping. */
  public Page chart(String svg) {
    body.append(svg).append('\n');
    return this;
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }

  @Override
  public String toString() {
    return "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
        + escape(title)
        + "</title><style>"
        + STYLE
        + "</style></head><body>\n"
        + body
        + "</body></html>\n";
  }
}
