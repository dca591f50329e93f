package tidebank.capture;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Reads the primitives that {@link BlockWriter} writes. Never reads beyond the end of the innermost
 * open frame; bytes that don't fit the format throw {@link UnreadableCaptureException}.
 */
final class BlockReader {
  private final List<String> strings = new ArrayList<>();
  private final byte[] bytes;
  private int position;
  private int limit;

  BlockReader(byte[] bytes) {
    this.bytes = bytes;
    limit = bytes.length;
  }

  boolean hasRemaining() {
    return position < bytes.length;
  }

  int position() {
    return position;
  }

  /** End of the innermost open frame. */
  int limit() {
    return limit;
  }

  /** Reads the length of a frame and opens it; returns its end. */
  int openFrame() {
    require(CaptureFormat.LENGTH_BYTES);
    int size = 0;
    for (int i = 0; i < CaptureFormat.LENGTH_BYTES; i++) {
      size = (size << 8) | (bytes[position++] & 0xff);
    }
    if (size < 0 || position + size > limit) {
      throw new UnreadableCaptureException("a length beyond its frame");
    }
    limit = position + size;
    return limit;
  }

  /** Goes to the end of a frame, over fields of a later version, and back into the outer one. */
  void closeFrame(int end, int outerLimit) {
    position = end;
    limit = outerLimit;
  }

  String readString() {
    long code = readVarint();
    if (code == CaptureFormat.STRING_NULL) {
      return null;
    }
    if (code == CaptureFormat.STRING_NEW) {
      String text = new String(readBytes(), StandardCharsets.UTF_8);
      strings.add(text);
      return text;
    }
    long index = code - CaptureFormat.STRING_FIRST_KNOWN;
    if (index >= strings.size()) {
      throw new UnreadableCaptureException("a string that is not in its block");
    }
    return strings.get((int) index);
  }

  /** Reads a length and so many bytes. */
  byte[] readBytes() {
    long size = readVarint();
    if (size < 0 || size > Math.max(CaptureFormat.MAX_STRING_BYTES, bytes.length)) {
      throw new UnreadableCaptureException("a string that is too long");
    }
    require((int) size);
    byte[] content = Arrays.copyOfRange(bytes, position, position + (int) size);
    position += (int) size;
    return content;
  }

  /** Reads the number of elements of a list. */
  int readCount() {
    long count = readVarint();
    if (count < 0 || count > CaptureFormat.MAX_COUNT) {
      throw new UnreadableCaptureException("a list that is too long");
    }
    return (int) count;
  }

  /** Reads an enum constant by its ordinal. */
  <E extends Enum<E>> E readEnum(E[] constants) {
    int ordinal = readByte();
    if (ordinal >= constants.length) {
      throw new UnreadableCaptureException("an enum constant of a later version");
    }
    return constants[ordinal];
  }

  double readDouble() {
    return Double.longBitsToDouble(readLong());
  }

  long readLong() {
    require(Long.BYTES);
    long value = 0;
    for (int i = 0; i < Long.BYTES; i++) {
      value = (value << 8) | (bytes[position++] & 0xff);
    }
    return value;
  }

  long readSignedVarint() {
    long value = readVarint();
    return (value >>> 1) ^ -(value & 1);
  }

  long readVarint() {
    long value = 0;
    for (int shift = 0; shift < Long.SIZE; shift += 7) {
      int next = readByte();
      value |= (long) (next & 0x7f) << shift;
      if ((next & 0x80) == 0) {
        return value;
      }
    }
    throw new UnreadableCaptureException("a number that does not end");
  }

  boolean readBoolean() {
    return readByte() == 1;
  }

  int readByte() {
    require(1);
    return bytes[position++] & 0xff;
  }

  private void require(int more) {
    if (more < 0 || position + more > limit) {
      throw new UnreadableCaptureException("a frame that ends too soon");
    }
  }
}
