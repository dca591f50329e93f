package tidebank.backend;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import tidebank.config.MalformedInputException;
import tidebank.fixtures.StoredCases;
import tidebank.model.Outcome;
import tidebank.runtime.SampleRequests;

/** Guards the wire format of frames against unintended changes, byte for byte. */
class FramesFixtureTest {
  private static final UnpooledByteBufAllocator ALLOCATOR = UnpooledByteBufAllocator.DEFAULT;
  private static final Map<Outcome, String> STATUS_BY_OUTCOME =
      Map.of(Outcome.COMPLETED, "good", Outcome.ERROR, "bad", Outcome.OVERLOADED, "later");

  private static InFlightAttempt attempt(String queryId, int shard, String body, long deadline) {
    return new InFlightAttempt(
        SampleRequests.request(queryId, shard, body.getBytes(UTF_8), deadline), null);
  }

  private static String wireBytes(ByteBuf frame) {
    EmbeddedChannel channel =
        new EmbeddedChannel(new LengthFieldPrepender(FrameDecoder.LENGTH_BYTES));
    channel.writeOutbound(frame);
    ByteBuf bytes = Unpooled.buffer();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      bytes.writeBytes(part);
      part.release();
    }
    return StoredCases.escape(ByteBufUtil.getBytes(bytes));
  }

  @Test
  void encodedFramesEqualTheStoredBytes() throws Exception {
    long now = 1_700_000_000_000_000L;
    List<InFlightAttempt> single = List.of(attempt("9b1f03aa", 3, "{\"a\":1}", now + 250_999));
    List<InFlightAttempt> multiple =
        List.of(
            attempt("9b1f03aa", 0, "{\"predicate\":\"c41e77d0\"}", now + 1_000_000),
            attempt("scan-2", 17, "", now + 999),
            attempt("scan.3", 1, "text\nof lines ä€", now - 5_000_000));
    StoredCases.assertMatchesFile(
        "frames/written.txt",
        String.join(
            "\n",
            wireBytes(FrameCodec.encodeBatch(ALLOCATOR, single, now)),
            wireBytes(FrameCodec.encodeBatch(ALLOCATOR, multiple, now)),
            wireBytes(FrameCodec.encodeCancel(ALLOCATOR, "9b1f03aa.3")),
            wireBytes(FrameCodec.encodeHealthCheck(ALLOCATOR, FrameCodec.HEALTH_CHECK)),
            wireBytes(FrameCodec.encodeHealthCheck(ALLOCATOR, FrameCodec.HEALTH_CHECK_WITH_LOAD)),
            ""));
  }

  @Test
  void responsesDecodeAsStored() throws Exception {
    StoredCases.assertParsedAsStored(
        "frames/answers.txt",
        input -> {
          try {
            FrameCodec.Response response = FrameCodec.decodeResponse(Unpooled.wrappedBuffer(input));
            return "id="
                + response.requestId()
                + " end="
                + STATUS_BY_OUTCOME.get(response.outcome())
                + " report="
                + new TreeMap<>(response.loadReport())
                + " value="
                + (response.value() == null ? "none" : new String(response.value(), UTF_8));
          } catch (MalformedInputException malformed) {
            return "fault: " + malformed.getMessage();
          }
        });
  }

  @Test
  void loadReportsParseAsStored() throws Exception {
    StoredCases.assertParsedAsStored(
        "frames/reports.txt",
        input -> FrameCodec.parseLoadReport(new String(input, UTF_8)).toString());
  }
}
