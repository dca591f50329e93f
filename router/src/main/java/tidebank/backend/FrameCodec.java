package tidebank.backend;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import tidebank.config.MalformedInputException;
import tidebank.model.Outcome;

/**
 * Encodes and decodes the contents of frames. The length in front of each frame is written and read
 * by Netty's codecs.
 */
final class FrameCodec {
  static final byte BATCH = 'm';
  static final byte CANCEL = 'n';
  static final byte HEALTH_CHECK = 'o';
  static final byte HEALTH_CHECK_WITH_LOAD = 'p';
  static final byte RESPONSE = 'q';
  static final byte REJECTED_FRAME = 'r';

  /**
   * The maximum length of a response's header line, in bytes. A frame may exceed the maximum body
   * size by this much.
   */
  static final int MAX_HEADER_BYTES = 1024;

  private static final String UNHEALTHY = "bad";
  private static final String NO_LOAD_REPORT = "-";
  private static final int HEADER_FIELD_COUNT = 4;
  private static final int INITIAL_BATCH_BYTES = 256;
  private static final long US_PER_MS = 1000;

  /** A decoded frame from a shard server. */
  sealed interface ServerFrame permits Response, HealthCheckResponse {}

  /**
   * A response to a health check.
   *
   * @param type {@link #HEALTH_CHECK} or {@link #HEALTH_CHECK_WITH_LOAD}
   * @param text the rest of the frame
   */
  record HealthCheckResponse(byte type, String text) implements ServerFrame {}

  /** A response to one shard request. */
  static final class Response implements ServerFrame {
    private final String requestId;
    private final Outcome outcome;
    private final Map<String, Double> loadReport;
    private final byte[] value;

    Response(String requestId, Outcome outcome, Map<String, Double> loadReport, byte[] value) {
      this.requestId = requestId;
      this.outcome = outcome;
      this.loadReport = loadReport;
      this.value = value;
    }

    /** Returns the id of the shard request that this answers. */
    String requestId() {
      return requestId;
    }

    /** Returns how the request ended at the shard server. */
    Outcome outcome() {
      return outcome;
    }

    /** Returns the reported load values by name; empty if the server sent no valid report. */
    Map<String, Double> loadReport() {
      return loadReport;
    }

    /** Returns the result, copied from the network buffer; null unless the request completed. */
    byte[] value() {
      return value;
    }
  }

  private FrameCodec() {}

  /**
   * Encodes a batch frame.
   *
   * @param now the current time in microseconds; each attempt is sent with the time left until its
   *     deadline as its timeout, at least 1 ms
   */
  static ByteBuf encodeBatch(ByteBufAllocator allocator, List<InFlightAttempt> attempts, long now) {
    ByteBuf frame = allocator.directBuffer(INITIAL_BATCH_BYTES);
    frame.writeByte(BATCH);
    for (InFlightAttempt attempt : attempts) {
      long timeoutMs = Math.max(1, (attempt.deadline() - now) / US_PER_MS);
      byte[] body = attempt.body();
      ByteBufUtil.writeAscii(
          frame,
          attempt.requestId()
              + ' '
              + attempt.shard()
              + " d="
              + timeoutMs
              + ' '
              + body.length
              + '\n');
      frame.writeBytes(body);
    }
    return frame;
  }

  /** Encodes a cancel frame for a shard request. */
  static ByteBuf encodeCancel(ByteBufAllocator allocator, String requestId) {
    ByteBuf frame = allocator.directBuffer(1 + requestId.length());
    frame.writeByte(CANCEL);
    ByteBufUtil.writeAscii(frame, requestId);
    return frame;
  }

  /**
   * Encodes a health check frame.
   *
   * @param type {@link #HEALTH_CHECK} or {@link #HEALTH_CHECK_WITH_LOAD}
   */
  static ByteBuf encodeHealthCheck(ByteBufAllocator allocator, byte type) {
    return allocator.directBuffer(1).writeByte(type);
  }

  /**
   * Reads the type byte of a frame from a shard server.
   *
   * @throws MalformedInputException if there is none, or a shard server sends no such frames
   */
  static byte readType(ByteBuf frame) throws MalformedInputException {
    if (!frame.isReadable()) {
      throw new MalformedInputException("frame has no type");
    }
    byte type = frame.readByte();
    return switch (type) {
      case RESPONSE, HEALTH_CHECK, HEALTH_CHECK_WITH_LOAD, REJECTED_FRAME -> type;
      default -> throw new MalformedInputException("frame type is unknown: " + type);
    };
  }

  /**
   * Decodes a frame from a shard server, starting after its type byte.
   *
   * @param type the type that {@link #readType} returned
   * @throws MalformedInputException if the contents are invalid, or the server rejected a frame of
   *     this router
   */
  static ServerFrame decode(byte type, ByteBuf frame) throws MalformedInputException {
    return switch (type) {
      case RESPONSE -> decodeResponse(frame);
      case REJECTED_FRAME ->
          throw new MalformedInputException("server rejected a frame: " + remainingText(frame));
      default -> new HealthCheckResponse(type, remainingText(frame));
    };
  }

  /**
   * Decodes a response frame, starting after its type byte.
   *
   * @throws MalformedInputException if the header line is missing or invalid, or the value is not
   *     UTF-8
   */
  static Response decodeResponse(ByteBuf frame) throws MalformedInputException {
    String header = readHeader(frame);
    String[] fields = header.split(" ", HEADER_FIELD_COUNT);
    if (fields.length != HEADER_FIELD_COUNT || fields[0].isEmpty()) {
      throw new MalformedInputException("response header is invalid: '" + header + "'");
    }
    Outcome outcome = parseOutcome(fields[1]);
    boolean completed = outcome == Outcome.COMPLETED;
    if (completed && !ByteBufUtil.isText(frame, UTF_8)) {
      throw new MalformedInputException("response value is not UTF-8");
    }
    return new Response(
        fields[0],
        outcome,
        parseLoadReport(fields[HEADER_FIELD_COUNT - 1]),
        completed ? ByteBufUtil.getBytes(frame) : null);
  }

  /**
   * Returns the request id of the response frame that a value ends with; empty if it ends with
   * none. A length field that is too long makes the frames after a response part of its value.
   */
  static Optional<String> idOfResponseAtEnd(byte[] value) {
    ByteBuffer bytes = ByteBuffer.wrap(value);
    for (int type = FrameDecoder.LENGTH_BYTES; type < value.length; type++) {
      if (value[type] == RESPONSE
          && type + bytes.getInt(type - FrameDecoder.LENGTH_BYTES) == value.length) {
        String header = new String(value, type + 1, value.length - type - 1, US_ASCII);
        return Optional.of(header.split(" ", HEADER_FIELD_COUNT)[0]);
      }
    }
    return Optional.empty();
  }

  private static String readHeader(ByteBuf frame) throws MalformedInputException {
    int length = frame.bytesBefore((byte) '\n');
    if (length < 0 || length > MAX_HEADER_BYTES) {
      throw new MalformedInputException("response has no header line");
    }
    String header = frame.readCharSequence(length, US_ASCII).toString();
    frame.skipBytes(1);
    return header;
  }

  private static Outcome parseOutcome(String status) throws MalformedInputException {
    return switch (status) {
      case "good" -> Outcome.COMPLETED;
      case "bad" -> Outcome.ERROR;
      case "later" -> Outcome.OVERLOADED;
      default -> throw new MalformedInputException("response status is unknown: '" + status + "'");
    };
  }

  /** Returns whether the text of a health check response reports a healthy server. */
  static boolean isHealthy(String text) {
    return !text.equals(UNHEALTHY);
  }

  /**
   * Parses a load report such as {@code inflight=7,util=0.61}. Returns an empty map if there is
   * none or any part of it is invalid, because a load report is only a hint.
   */
  static Map<String, Double> parseLoadReport(String text) {
    Map<String, Double> report = new LinkedHashMap<>();
    try {
      boolean absent = text.equals(NO_LOAD_REPORT) || text.isEmpty();
      for (String pair : absent ? new String[0] : text.split(",")) {
        int equals = pair.indexOf('=');
        double value = Double.parseDouble(pair.substring(equals + 1));
        if (equals <= 0 || !(value >= 0 && value <= Long.MAX_VALUE)) {
          return Map.of();
        }
        report.put(pair.substring(0, equals), value);
      }
    } catch (NumberFormatException invalid) {
      return Map.of();
    }
    return report;
  }

  /** Returns the rest of a frame as text, truncated to {@link #MAX_HEADER_BYTES} bytes. */
  private static String remainingText(ByteBuf frame) {
    int length = Math.min(frame.readableBytes(), MAX_HEADER_BYTES);
    return frame.toString(frame.readerIndex(), length, UTF_8);
  }
}
