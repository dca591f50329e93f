package tidebank.capture;

/** Thrown when the bytes of a block are not valid capture records. Carries no stack trace. */
final class UnreadableCaptureException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  UnreadableCaptureException(String reason) {
    super(reason, null, false, false);
  }
}
