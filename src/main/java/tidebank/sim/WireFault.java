package tidebank.sim;

import java.io.IOException;

/** A message that is not of this wire. Its text names the fault. */
final class WireFault extends IOException {
  private static final long serialVersionUID = 1L;

  WireFault(String message) {
    super(message);
  }
}
