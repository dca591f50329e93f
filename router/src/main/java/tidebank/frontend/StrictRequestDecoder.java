package tidebank.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Netty's decoder, which by itself reads a request of two lengths by one of them: another may hide
 * behind it. It tells in addition whether a request has begun that is not whole.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  private boolean amidBody;

  /** RFC 9112, 2.2: empty lines before a request are no part of it. */
  static boolean isBlank(ByteBuf bytes) {
    return bytes.forEachByte(letter -> letter == '\r' || letter == '\n') < 0;
  }

  /** Whether part of a request was read and its end was not. */
  boolean isAmidRequest() {
    return amidBody || !isBlank(internalBuffer());
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    super.decode(context, in, out);
    for (Object decoded : out) {
      amidBody =
          (amidBody || decoded instanceof HttpMessage) && !(decoded instanceof LastHttpContent);
    }
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
