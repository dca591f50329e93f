package tidebank.frontend;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import tidebank.frontend.QueryRequestParser.InvalidRequestException;
import tidebank.runtime.QueryRequest;

/** Answers whole requests by their path, or hands their scans to the turn. */
final class RequestRouter {
  private static final String HEALTH = "/health/";

  private final ClientServer side;

  RequestRouter(ClientServer side) {
    this.side = side;
  }

  /**
   * Answers a request or takes its scan. Its first byte came at {@code headAt} and its last one at
   * {@code wholeAt}, in microseconds.
   */
  void route(
      ClientConnection connection,
      HttpExchange exchange,
      FullHttpRequest request,
      long headAt,
      long wholeAt) {
    // A transfer coding that is left here is none that Netty has read.
    if (request.decoderResult().isFailure()
        || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      side.counters.add("front.malformed");
      connection.reject(exchange, HttpResponseStatus.BAD_REQUEST, "no valid HTTP");
      return;
    }
    String path = request.uri().split("[?]", 2)[0];
    if (path.startsWith(HEALTH)) {
      health(exchange, path.substring(HEALTH.length()));
    } else if (!request.method().equals(HttpMethod.POST)) {
      connection.reject(exchange, HttpResponseStatus.METHOD_NOT_ALLOWED, "scans come by POST");
    } else {
      scan(connection, exchange, request, path, headAt, wholeAt);
    }
  }

  private void health(HttpExchange exchange, String check) {
    if (check.equals("live") || check.equals("ready") && side.ready()) {
      exchange.respond(HttpResponseStatus.OK, "ok");
    } else if (check.equals("ready")) {
      exchange.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready");
    } else {
      exchange.respond(HttpResponseStatus.NOT_FOUND, "unknown path");
    }
  }

  private void scan(
      ClientConnection connection,
      HttpExchange exchange,
      FullHttpRequest request,
      String path,
      long headAt,
      long wholeAt) {
    QueryRequest scan;
    try {
      scan = side.reader.read(request, path.substring(1).split("/", 2)[0], headAt, wholeAt);
    } catch (InvalidRequestException fault) {
      side.counters.add("front.rejected");
      connection.reject(exchange, HttpResponseStatus.valueOf(fault.status), fault.getMessage());
      return;
    }
    if (side.driver.isPending(scan)) {
      side.counters.add("front.rejected");
      connection.reject(exchange, HttpResponseStatus.BAD_REQUEST, "X-Correlation-Id is in use");
    } else if (side.driver.queryReceived(scan, exchange)) {
      exchange.scan = scan;
      connection.trace().taken(scan);
    } else {
      side.counters.add("front.refused-full");
      exchange.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, "as much is held as may be");
    }
  }
}
