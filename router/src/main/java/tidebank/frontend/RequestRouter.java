package tidebank.frontend;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.BooleanSupplier;
import tidebank.runtime.QueryRequest;

/** Responds to complete requests according to their path and submits queries to the executor. */
final class RequestRouter {
  private static final String HEALTH = "/health/";
  private static final String LIVE = "live";
  private static final String READY = "ready";

  private final FrontendContext context;
  private final QueryRequestParser parser;
  private final BooleanSupplier isReady;

  RequestRouter(FrontendContext context, BooleanSupplier isReady) {
    this.context = context;
    this.parser = new QueryRequestParser(context.config().settings());
    this.isReady = isReady;
  }

  /**
   * Responds to a request or submits its query. Its first byte arrived at {@code beganAt} and its
   * last byte at {@code completeAt}, in microseconds.
   */
  void route(
      ClientConnection connection,
      HttpExchange exchange,
      FullHttpRequest request,
      long beganAt,
      long completeAt) {
    // Netty removes transfer codings that it has decoded, so a remaining one is not supported.
    if (request.decoderResult().isFailure()
        || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      context.counters().increment("front.malformed");
      connection.reject(exchange, HttpResponseStatus.BAD_REQUEST, "no valid HTTP");
      return;
    }
    String path = request.uri().split("[?]", 2)[0];
    if (path.startsWith(HEALTH)) {
      respondToHealthCheck(exchange, path.substring(HEALTH.length()));
    } else if (!request.method().equals(HttpMethod.POST)) {
      connection.reject(exchange, HttpResponseStatus.METHOD_NOT_ALLOWED, "scans come by POST");
    } else {
      submitQuery(connection, exchange, request, path, beganAt, completeAt);
    }
  }

  private void respondToHealthCheck(HttpExchange exchange, String check) {
    if (check.equals(LIVE) || (check.equals(READY) && isReady.getAsBoolean())) {
      exchange.respond(HttpResponseStatus.OK, "ok");
    } else if (check.equals(READY)) {
      exchange.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready");
    } else {
      exchange.respond(HttpResponseStatus.NOT_FOUND, "unknown path");
    }
  }

  private void submitQuery(
      ClientConnection connection,
      HttpExchange exchange,
      FullHttpRequest request,
      String path,
      long beganAt,
      long completeAt) {
    String queryClass = path.substring(1).split("/", 2)[0];
    QueryRequest query;
    try {
      query = parser.parse(request, queryClass, beganAt, completeAt);
    } catch (InvalidRequestException fault) {
      context.counters().increment("front.rejected");
      connection.reject(exchange, fault.status(), fault.getMessage());
      return;
    }
    if (context.executor().isPending(query) || context.executor().mayHaveExecuted(query)) {
      context.counters().increment("front.rejected");
      connection.reject(exchange, HttpResponseStatus.BAD_REQUEST, "X-Correlation-Id is in use");
    } else if (context.executor().submitQuery(query, exchange)) {
      exchange.markAccepted(query);
    } else {
      context.counters().increment("front.refused-full");
      exchange.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, "as much is held as may be");
    }
  }
}
