package tidebank.testbed.chaos;

/** Text in HTML and SVG. */
final class Markup {
  private Markup() {}

  /** Returns a text with the characters replaced that have a meaning in HTML and SVG. */
  static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}
