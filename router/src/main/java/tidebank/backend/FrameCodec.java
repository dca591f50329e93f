package tidebank.backend;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tidebank.config.MalformedInputException;
import tidebank.model.Outcome;

/** The frames' insides; their lengths are Netty's to write and to read. */
final class FrameCodec {
  static final byte CALL = 'm';
  static final byte GIVE_UP = 'n';
  static final byte PROBE = 'o';
  static final byte PROBE_LOAD = 'p';
  static final byte ANSWER = 'q';
  static final byte UNUSABLE = 'r';

  /** Above the text of 64 KiB of any one part: its line. */
  static final int LINE_MOST = 1024;

  /**
   * An answer to a part. The value, null unless it completed, outlives the buffer that it was read
   * into.
   */
  record Answer(String id, Outcome outcome, Map<String, Double> report, byte[] value) {}

  private FrameCodec() {}

  /** A call of these parts, each to be waited for until its own time. */
  static ByteBuf call(ByteBufAllocator allocator, List<InFlightAttempt> flights, long now) {
    ByteBuf frame = allocator.directBuffer(256);
    frame.writeByte(CALL);
    for (InFlightAttempt inFlight : flights) {
      long waitMs = Math.max(1, (inFlight.request.deadline - now) / 1000);
      ByteBufUtil.writeAscii(
          frame,
          inFlight.request.requestId
              + ' '
              + inFlight.request.shard
              + " d="
              + waitMs
              + ' '
              + inFlight.request.body.length
              + '\n');
      frame.writeBytes(inFlight.request.body);
    }
    return frame;
  }

  static ByteBuf giveUp(ByteBufAllocator allocator, String part) {
    ByteBuf frame = allocator.directBuffer(1 + part.length());
    frame.writeByte(GIVE_UP);
    ByteBufUtil.writeAscii(frame, part);
    return frame;
  }

  static ByteBuf probe(ByteBufAllocator allocator, byte letter) {
    return allocator.directBuffer(1).writeByte(letter);
  }

  /** Reads an answer frame behind its letter. */
  static Answer answer(ByteBuf frame) throws MalformedInputException {
    int length = frame.bytesBefore((byte) '\n');
    if (length < 0 || length > LINE_MOST) {
      throw new MalformedInputException("an answer without a line");
    }
    String line = frame.readCharSequence(length, US_ASCII).toString();
    frame.skipBytes(1);
    String[] words = line.split(" ", 4);
    if (words.length != 4 || words[0].isEmpty()) {
      throw new MalformedInputException("an answer's line '" + line + "'");
    }
    Outcome outcome =
        switch (words[1]) {
          case "good" -> Outcome.COMPLETED;
          case "bad" -> Outcome.ERROR;
          case "later" -> Outcome.OVERLOADED;
          default -> throw new MalformedInputException("an answer's end '" + words[1] + "'");
        };
    if (outcome == Outcome.COMPLETED && !ByteBufUtil.isText(frame, UTF_8)) {
      throw new MalformedInputException("a value that is no text");
    }
    return new Answer(
        words[0],
        outcome,
        report(words[3]),
        outcome == Outcome.COMPLETED ? ByteBufUtil.getBytes(frame) : null);
  }

  /** A load report such as {@code inflight=7,util=0.61}; one that can't be read counts as none. */
  static Map<String, Double> report(String text) {
    Map<String, Double> report = new LinkedHashMap<>();
    try {
      for (String pair : text.equals("-") || text.isEmpty() ? new String[0] : text.split(",")) {
        int equals = pair.indexOf('=');
        double value = Double.parseDouble(pair.substring(equals + 1));
        if (equals <= 0 || !(value >= 0 && value <= Long.MAX_VALUE)) {
          return Map.of();
        }
        report.put(pair.substring(0, equals), value);
      }
    } catch (NumberFormatException fault) {
      return Map.of();
    }
    return report;
  }

  static String text(ByteBuf rest) {
    return rest.toString(rest.readerIndex(), Math.min(rest.readableBytes(), LINE_MOST), UTF_8);
  }
}
