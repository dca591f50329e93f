package tidebank.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Netty's request decoder, stricter and with one more question answered. By itself Netty's reads a
 * request of two lengths by one of them, and another request may hide behind it; this one rejects
 * it. {@link #isWithinRequest} says whether an incomplete request has begun.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  private boolean withinBody;

  /** RFC 9112, 2.2: empty lines before a request are no part of it. */
  static boolean isBlank(ByteBuf bytes) {
    return bytes.forEachByte(octet -> octet == '\r' || octet == '\n') < 0;
  }

  /** Returns whether part of a request was read and its end was not. */
  boolean isWithinRequest() {
    return withinBody || !isBlank(internalBuffer());
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    super.decode(context, in, out);
    for (Object decoded : out) {
      withinBody =
          (withinBody || decoded instanceof HttpMessage) && !(decoded instanceof LastHttpContent);
    }
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
