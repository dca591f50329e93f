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
 * Tells of each call on one connection to discovery, with its bytes. A gatherer has one call out at
 * a time, so all bytes between two requests belong to the later one.
 */
final class ExchangeRecorder extends ChannelDuplexHandler {
  /** The flag stands within so many bytes of an answer's beginning. */
  private static final int HEAD = 64;

  private static final String WHOLE = "\"whole\":true";
  private static final String NO_HOSTS = "\"hosts\":[]}";

  private final int gatherer;
  private final Exchanges exchanges;
  private final ByteCounter bytes;
  private long readBefore;
  private long requestBytes;
  private long waitMs;

  private ExchangeRecorder(int gatherer, Exchanges exchanges, ByteCounter bytes) {
    this.gatherer = gatherer;
    this.exchanges = exchanges;
    this.bytes = bytes;
  }

  /** Records a gatherer's connection, whose pipeline ends with what answers it. */
  static void record(int gatherer, ChannelPipeline pipeline, Exchanges exchanges) {
    ByteCounter bytes = new ByteCounter();
    pipeline.addFirst(bytes);
    String answers = pipeline.lastContext().name();
    pipeline.addBefore(answers, null, new ExchangeRecorder(gatherer, exchanges, bytes));
    exchanges.connected();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    Map<String, List<String>> asked =
        new QueryStringDecoder(((FullHttpRequest) message).uri()).parameters();
    requestBytes = bytes.read() - readBefore;
    readBefore = bytes.read();
    waitMs = number(asked, "wait_ms", 0);
    context.fireChannelRead(message);
    exchanges.acknowledged(gatherer, number(asked, "after", 0));
  }

  private static long number(Map<String, List<String>> asked, String key, long absent) {
    List<String> values = asked.get(key);
    return values == null ? absent : Long.parseLong(values.get(0));
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    ExchangeKind kind = kind((FullHttpResponse) message);
    long before = bytes.written();
    context.write(message, promise);
    exchanges.add(new Exchange(gatherer, kind, requestBytes, bytes.written() - before, waitMs));
  }

  private static ExchangeKind kind(FullHttpResponse response) {
    int length = response.content().readableBytes();
    String head =
        response
            .content()
            .toString(
                response.content().readerIndex(),
                Math.min(HEAD, length),
                StandardCharsets.US_ASCII);
    if (head.contains(WHOLE)) {
      return ExchangeKind.WHOLE_LIST;
    }
    return head.endsWith(NO_HOSTS) ? ExchangeKind.NOTHING : ExchangeKind.CHANGES;
  }
}
