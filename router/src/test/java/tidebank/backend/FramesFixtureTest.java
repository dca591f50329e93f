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

/** Frames are written and read byte for byte as they were. */
class FramesFixtureTest {
  private static final UnpooledByteBufAllocator ALLOCATOR = UnpooledByteBufAllocator.DEFAULT;
  private static final Map<Outcome, String> ENDS =
      Map.of(Outcome.COMPLETED, "good", Outcome.ERROR, "bad", Outcome.OVERLOADED, "later");

  private static InFlightAttempt dispatch(String scan, int shard, String text, long stopAt) {
    return new InFlightAttempt(
        SampleRequests.request(scan, shard, text.getBytes(UTF_8), stopAt), null);
  }

  private static String onTheWire(ByteBuf frame) {
    EmbeddedChannel channel =
        new EmbeddedChannel(new LengthFieldPrepender(FrameDecoder.LENGTH_BYTES));
    channel.writeOutbound(frame);
    ByteBuf all = Unpooled.buffer();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      all.writeBytes(part);
      part.release();
    }
    return StoredCases.escape(ByteBufUtil.getBytes(all));
  }

  @Test
  void writtenFramesAreTheStoredOnes() throws Exception {
    long now = 1_700_000_000_000_000L;
    List<InFlightAttempt> one = List.of(dispatch("9b1f03aa", 3, "{\"a\":1}", now + 250_999));
    List<InFlightAttempt> several =
        List.of(
            dispatch("9b1f03aa", 0, "{\"predicate\":\"c41e77d0\"}", now + 1_000_000),
            dispatch("scan-2", 17, "", now + 999),
            dispatch("scan.3", 1, "text\nof lines ä€", now - 5_000_000));
    StoredCases.isText(
        "frames/written.txt",
        String.join(
            "\n",
            onTheWire(FrameCodec.call(ALLOCATOR, one, now)),
            onTheWire(FrameCodec.call(ALLOCATOR, several, now)),
            onTheWire(FrameCodec.giveUp(ALLOCATOR, "9b1f03aa.3")),
            onTheWire(FrameCodec.probe(ALLOCATOR, FrameCodec.PROBE)),
            onTheWire(FrameCodec.probe(ALLOCATOR, FrameCodec.PROBE_LOAD)),
            ""));
  }

  @Test
  void answersAreReadAsStored() throws Exception {
    StoredCases.readAsStored(
        "frames/answers.txt",
        input -> {
          try {
            FrameCodec.Answer answer = FrameCodec.answer(Unpooled.wrappedBuffer(input));
            return "id="
                + answer.id()
                + " end="
                + ENDS.get(answer.outcome())
                + " report="
                + new TreeMap<>(answer.report())
                + " value="
                + (answer.value() == null ? "none" : new String(answer.value(), UTF_8));
          } catch (MalformedInputException fault) {
            return "fault: " + fault.getMessage();
          }
        });
  }

  @Test
  void loadReportsAreReadAsStored() throws Exception {
    StoredCases.readAsStored(
        "frames/reports.txt", input -> FrameCodec.report(new String(input, UTF_8)).toString());
  }
}
