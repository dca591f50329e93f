package tidebank.config;

import java.io.IOException;

/** Exception for a message or a configuration with an invalid syntax or value. */
public final class MalformedInputException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that names the invalid part and what is wrong with it. */
  public MalformedInputException(String message) {
    super(message);
  }
}
