package tidebank.testbed.trace.store;

import java.io.IOException;

/** A trace file that is cut, changed or of another form. */
public final class CorruptTraceException extends IOException {
  private static final long serialVersionUID = 1L;

  CorruptTraceException(String what) {
    super(what);
  }

  CorruptTraceException(String what, Throwable cause) {
    super(what, cause);
  }
}
