package tidebank.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * A stricter HTTP request decoder, which also tells whether a request is incomplete. Netty's own
 * decoder accepts a request with both Content-Length and Transfer-Encoding and ignores one of them,
 * which permits request smuggling; this one rejects such a request.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  private static final HttpHeadersFactory HEADERS =
      LimitedHttpHeaders.factory(DefaultHttpHeadersFactory.headersFactory());
  private static final HttpHeadersFactory TRAILERS =
      LimitedHttpHeaders.factory(DefaultHttpHeadersFactory.trailersFactory());

  private final ClientInputHandler input;
  private boolean withinBody;

  StrictRequestDecoder(ClientInputHandler input) {
    super(new HttpDecoderConfig().setHeadersFactory(HEADERS).setTrailersFactory(TRAILERS));
    this.input = input;
  }

  /** Returns whether the bytes are only line ends; RFC 9112, 2.2 ignores those before a request. */
  static boolean isBlank(ByteBuf bytes) {
    return bytes.forEachByte(octet -> octet == '\r' || octet == '\n') < 0;
  }

  /** Returns whether a request has been read in part. */
  boolean isWithinRequest() {
    return withinBody || !isBlank(internalBuffer());
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (input.dropsInput()) {
      in.skipBytes(in.readableBytes());
      return;
    }
    if (!input.mayParse()) {
      // Consuming nothing ends the decoding of this read.
      return;
    }
    super.decode(context, in, out);
    if (!out.isEmpty()) {
      input.recordMessage();
    }
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
