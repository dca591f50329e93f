package tidebank.testbed.scale;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * A handler that records the exchanges of one connection to discovery. A router has one request in
 * flight at a time, so all bytes read since the previous request belong to the current one.
 */
final class ExchangeRecorder extends ChannelDuplexHandler {
  /**
   * Bytes at the start of a response body that tell a snapshot, a delta and an empty response
   * apart.
   */
  private static final int HEAD_BYTES = 64;

  private static final String SNAPSHOT_FLAG = "\"whole\":true";
  private static final String EMPTY_LIST_END = "\"hosts\":[]}";

  private final int router;
  private final ExchangeLog exchanges;
  private final ByteCounter bytes;
  private long readBefore;
  private long requestBytes;
  private long waitMs;

  private ExchangeRecorder(int router, ExchangeLog exchanges, ByteCounter bytes) {
    this.router = router;
    this.exchanges = exchanges;
    this.bytes = bytes;
  }

  /**
   * Installs a recorder on a router's connection, before the last handler of the pipeline, which
   * sends the responses.
   */
  static void install(int router, ChannelPipeline pipeline, ExchangeLog exchanges) {
    ByteCounter bytes = new ByteCounter();
    pipeline.addFirst(bytes);
    String responder = pipeline.lastContext().name();
    pipeline.addBefore(responder, null, new ExchangeRecorder(router, exchanges, bytes));
    exchanges.countConnection();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    Map<String, List<String>> parameters =
        new QueryStringDecoder(((FullHttpRequest) message).uri()).parameters();
    requestBytes = bytes.read() - readBefore;
    readBefore = bytes.read();
    waitMs = parseParameter(parameters, "wait_ms", 0);
    context.fireChannelRead(message);
    exchanges.recordVersion(router, parseParameter(parameters, "after", 0));
  }

  private static long parseParameter(
      Map<String, List<String>> parameters, String key, long defaultValue) {
    List<String> values = parameters.get(key);
    return values == null ? defaultValue : Long.parseLong(values.get(0));
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    ExchangeKind kind = kindOf((FullHttpResponse) message);
    long writtenBefore = bytes.written();
    context.write(message, promise);
    exchanges.add(
        new Exchange(router, kind, requestBytes, bytes.written() - writtenBefore, waitMs));
  }

  private static ExchangeKind kindOf(FullHttpResponse response) {
    int length = response.content().readableBytes();
    String head =
        response
            .content()
            .toString(
                response.content().readerIndex(),
                Math.min(HEAD_BYTES, length),
                StandardCharsets.US_ASCII);
    if (head.contains(SNAPSHOT_FLAG)) {
      return ExchangeKind.SNAPSHOT;
    }
    return head.endsWith(EMPTY_LIST_END) ? ExchangeKind.EMPTY : ExchangeKind.DELTA;
  }
}
