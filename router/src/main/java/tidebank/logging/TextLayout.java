package tidebank.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.LayoutBase;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import org.slf4j.event.KeyValuePair;

/**
 * A layout that formats an entry as one line of text. Written by hand because Logback would compile
 * a pattern at each start of the process.
 */
final class TextLayout extends LayoutBase<ILoggingEvent> {
  private static final int TYPICAL_LINE_LENGTH = 160;

  @Override
  public String doLayout(ILoggingEvent event) {
    StringBuilder line = new StringBuilder(TYPICAL_LINE_LENGTH);
    line.append(Instant.ofEpochMilli(event.getTimeStamp()).truncatedTo(ChronoUnit.MILLIS))
        .append(' ')
        .append(event.getLevel())
        .append(' ')
        .append(joinLines(event.getFormattedMessage()));
    appendFields(line, event);
    appendCause(line, event.getThrowableProxy());
    return line.append('\n').toString();
  }

  private static void appendFields(StringBuilder line, ILoggingEvent event) {
    if (event.getKeyValuePairs() == null) {
      return;
    }
    for (KeyValuePair field : event.getKeyValuePairs()) {
      line.append(' ').append(field.key).append('=').append(joinLines(String.valueOf(field.value)));
    }
  }

  private static void appendCause(StringBuilder line, IThrowableProxy cause) {
    if (cause == null) {
      return;
    }
    line.append(": ")
        .append(cause.getClassName())
        .append(": ")
        .append(joinLines(String.valueOf(cause.getMessage())));
    if (cause.getStackTraceElementProxyArray().length > 0) {
      line.append(' ').append(cause.getStackTraceElementProxyArray()[0].getSTEAsString());
    }
  }

  private static String joinLines(String text) {
    return text.replace('\n', ' ');
  }
}
