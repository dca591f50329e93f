package tidebank.frontend;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.runtime.QueryRequest;
import tidebank.runtime.ResponseCallback;

/** A request on a client's connection, with its response once that is available. */
final class HttpExchange implements ResponseCallback {
  private static final Logger LOG = LoggerFactory.getLogger(HttpExchange.class);
  private static final JsonFactory JSON = new JsonFactory();
  private static final double US_PER_S = 1e6;

  private final ClientConnection connection;

  /** The query that was accepted from the request, or null if none is pending. */
  private QueryRequest query;

  private FullHttpResponse response;

  HttpExchange(ClientConnection connection) {
    this.connection = connection;
  }

  /** Records that the request was accepted as a query. */
  void markAccepted(QueryRequest acceptedQuery) {
    query = acceptedQuery;
    connection.trace().recordQuery(acceptedQuery);
  }

  boolean hasResponse() {
    return response != null;
  }

  /** Returns the response, or null while there is none. Writing the response releases it. */
  FullHttpResponse response() {
    return response;
  }

  /** Closes the query if it is pending, and releases a response that was not written. */
  void clientDisconnected() {
    if (query != null) {
      connection.abandonQuery(query);
    }
    if (response != null) {
      response.release();
    }
  }

  /** Refuses the query unless an attempt of it was sent, as its client may have disconnected. */
  void refuseIfUnsent() {
    if (query != null && connection.withdrawQuery(query)) {
      respond(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much input behind the request");
    }
  }

  @Override
  public void onResponse(boolean complete, List<Value> values) {
    ByteBuf body;
    try {
      body = encodeBody(complete, values);
    } catch (IOException | RuntimeException | VirtualMachineError fault) {
      LOG.error("writing a response failed", fault);
      respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, "the answer could not be written");
      return;
    }
    respond(
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body),
        "application/json");
  }

  private ByteBuf encodeBody(boolean complete, List<Value> values) throws IOException {
    ByteBuf body = connection.allocator().directBuffer();
    try (JsonGenerator out = JSON.createGenerator((OutputStream) new ByteBufOutputStream(body))) {
      out.writeStartObject();
      out.writeBooleanField("total", complete);
      out.writeArrayFieldStart("answers");
      for (Value value : values) {
        out.writeStartObject();
        out.writeNumberField("range", value.shard());
        out.writeFieldName("blob");
        out.writeUTF8String(value.bytes(), 0, value.bytes().length);
        out.writeEndObject();
      }
      out.writeEndArray();
      out.writeEndObject();
      out.flush();
      return body;
    } catch (IOException | RuntimeException | VirtualMachineError fault) {
      body.release();
      throw fault;
    }
  }

  @Override
  public void onThrottled(long retryAfterUs) {
    FullHttpResponse throttled = textResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "throttled");
    if (retryAfterUs > 0) {
      throttled
          .headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              String.format(Locale.ROOT, "%.3f", retryAfterUs / US_PER_S));
    }
    respond(throttled, "text/plain");
  }

  @Override
  public void onFailed() {
    respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, "abandoned");
  }

  @Override
  public void pollClientConnection() {
    connection.readToEnd();
  }

  /** Responds with a line of text. */
  void respond(HttpResponseStatus status, String text) {
    respond(textResponse(status, text), "text/plain");
  }

  private static FullHttpResponse textResponse(HttpResponseStatus status, String text) {
    ByteBuf body = Unpooled.copiedBuffer(text + '\n', StandardCharsets.US_ASCII);
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
  }

  private void respond(FullHttpResponse newResponse, String contentType) {
    newResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    newResponse
        .headers()
        .set(HttpHeaderNames.CONTENT_LENGTH, newResponse.content().readableBytes());
    if (query != null) {
      connection.trace().recordResponse(query, newResponse.status().code());
    }
    query = null;
    response = newResponse;
    connection.writeResponses();
  }
}
