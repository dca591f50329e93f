package tidebank.front;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Netty's decoder, which by itself reads a request of two lengths by one of them: another may hide
 * behind it.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
