package tidebank.coordinator;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.CompletionException;
import tidebank.errors.CoordinatorException;
import tidebank.errors.TidebankException;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.CommandResult;

/** Maps what kept a request from being decided to a status and a body. */
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

  /** Returns the error in the form of a command's result, so that callers read one form only. */
  static byte[] body(TidebankException exception) {
    return LeaseCodec.write(new CommandResult(exception.details(), null, null, null, 0));
  }

  /** Returns a failed future's cause; an unknown one counts as a missing majority. */
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
