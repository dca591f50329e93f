package tidebank.testbed.chaos;

/** Escaping of text for HTML and SVG. */
final class Markup {
  private Markup() {}

  /** Returns a text with the special characters of HTML and SVG replaced by entities. */
  static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}
