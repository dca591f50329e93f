package tidebank.testbed.trace.store;

import java.io.IOException;

/** A trace file that is cut, changed or of another form. */
public final class Damaged extends IOException {
  private static final long serialVersionUID = 1L;

  Damaged(String what) {
    super(what);
  }

  Damaged(String what, Throwable cause) {
    super(what, cause);
  }
}
