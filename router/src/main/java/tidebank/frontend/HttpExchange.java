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

/** One request on a client's connection and, once it is there, its response. */
final class HttpExchange implements ResponseCallback {
  private static final Logger LOG = LoggerFactory.getLogger(HttpExchange.class);
  private static final JsonFactory JSON = new JsonFactory();

  private final ClientConnection connection;

  /** The scan that was taken from it and is not answered yet, or null. */
  QueryRequest scan;

  FullHttpResponse response;

  HttpExchange(ClientConnection connection) {
    this.connection = connection;
  }

  @Override
  public void onResponse(boolean whole, List<Value> values) {
    ByteBuf body;
    try {
      body = body(whole, values);
    } catch (IOException | RuntimeException | VirtualMachineError fault) {
      LOG.error("an answer could not be written", fault);
      respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, "the answer could not be written");
      return;
    }
    finish(
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body),
        "application/json");
  }

  private ByteBuf body(boolean whole, List<Value> values) throws IOException {
    ByteBuf body = connection.allocator().directBuffer();
    try (JsonGenerator out = JSON.createGenerator((OutputStream) new ByteBufOutputStream(body))) {
      out.writeStartObject();
      out.writeBooleanField("total", whole);
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
  public void onThrottled(long holdOffUs) {
    respond(HttpResponseStatus.SERVICE_UNAVAILABLE, "throttled", holdOffUs);
  }

  @Override
  public void onFailed() {
    respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, "abandoned");
  }

  @Override
  public void checkClient() {
    connection.checkClient();
  }

  void respond(HttpResponseStatus status, String text) {
    respond(status, text, 0);
  }

  void respond(HttpResponseStatus status, String text, long holdOffUs) {
    ByteBuf body = Unpooled.copiedBuffer(text + '\n', StandardCharsets.US_ASCII);
    FullHttpResponse made = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    if (holdOffUs > 0) {
      made.headers()
          .set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", holdOffUs / 1e6));
    }
    finish(made, "text/plain");
  }

  private void finish(FullHttpResponse made, String type) {
    made.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
    made.headers().set(HttpHeaderNames.CONTENT_LENGTH, made.content().readableBytes());
    if (scan != null) {
      connection.trace().answered(scan, made.status().code());
    }
    scan = null;
    response = made;
    connection.flush();
  }
}
