package tidebank.config;

import java.io.IOException;

/** A message or a configuration that violates its form. The exception's message names the fault. */
public final class MalformedInputException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that says which part is at fault, and why. */
  public MalformedInputException(String message) {
    super(message);
  }
}
