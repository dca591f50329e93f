package tidebank.frontend;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request that is no query of this protocol. Its message is the body of the response. */
final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient HttpResponseStatus status;

  /** Clients can cause any number of these, so they carry no stack trace. */
  InvalidRequestException(HttpResponseStatus status, String message) {
    super(message, null, false, false);
    this.status = status;
  }

  HttpResponseStatus status() {
    return status;
  }
}
