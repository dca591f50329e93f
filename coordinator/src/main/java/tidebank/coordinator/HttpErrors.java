package tidebank.coordinator;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.CompletionException;
import tidebank.errors.CoordinatorException;
import tidebank.errors.TidebankException;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.CommandResult;

/** Maps the exceptions of failed requests to HTTP statuses and response bodies. */
final class HttpErrors {
  private HttpErrors() {}

  static HttpResponseStatus status(TidebankException exception) {
    if (exception instanceof CoordinatorException.NotLeading) {
      return HttpResponseStatus.MISDIRECTED_REQUEST;
    }
    if (exception instanceof CoordinatorException.MalformedRequest) {
      return HttpResponseStatus.BAD_REQUEST;
    }
    if (exception instanceof CoordinatorException.PathUnknown) {
      return HttpResponseStatus.NOT_FOUND;
    }
    return HttpResponseStatus.SERVICE_UNAVAILABLE;
  }

  /** Returns the error as a command result, so that clients parse one format only. */
  static byte[] body(TidebankException exception) {
    return LeaseCodec.write(new CommandResult(exception.details(), null, null, null, 0));
  }

  /** Returns the cause of a failed future; an unknown cause is reported as a missing majority. */
  static TidebankException toTidebankException(Throwable thrown) {
    Throwable cause =
        thrown instanceof CompletionException && thrown.getCause() != null
            ? thrown.getCause()
            : thrown;
    return cause instanceof TidebankException known
        ? known
        : new CoordinatorException.NoMajority(String.valueOf(cause));
  }
}
