package tidebank.frontend;

import io.netty.handler.codec.http.HttpResponseStatus;

/** Thrown if a request is not a valid query. The message becomes the body of the response. */
final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient HttpResponseStatus status;

  /** Creates an exception without a stack trace, as clients can cause any number of them. */
  InvalidRequestException(HttpResponseStatus status, String message) {
    super(message, null, false, false);
    this.status = status;
  }

  HttpResponseStatus status() {
    return status;
  }
}
