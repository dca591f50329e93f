package tidebank.config;

import java.io.IOException;

/** A message or a configuration that is not of its form. Its text names the fault. */
public final class MalformedInputException extends IOException {
  private static final long serialVersionUID = 1L;

  public MalformedInputException(String message) {
    super(message);
  }
}
