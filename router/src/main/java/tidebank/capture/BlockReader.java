package tidebank.capture;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Reads the primitive values that {@link BlockWriter} writes. Never reads beyond the end of the
 * innermost open frame. Throws {@link UnreadableCaptureException} on bytes that violate the format.
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

  /** Returns the end of the innermost open frame. */
  int limit() {
    return limit;
  }

  /** Reads the length of a frame, opens the frame and returns the position of its end. */
  int openFrame() {
    requireAvailable(CaptureFormat.LENGTH_BYTES);
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

  /**
   * Closes a frame. Skips to its end, past any fields that a later version added.
   *
   * @param end the end of the frame, as {@link #openFrame} returned it
   * @param outerLimit the {@link #limit} before the frame was opened
   */
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

  /** Reads a length and that number of bytes. */
  byte[] readBytes() {
    long size = readVarint();
    if (size < 0 || size > Math.max(CaptureFormat.MAX_STRING_BYTES, bytes.length)) {
      throw new UnreadableCaptureException("a string that is too long");
    }
    requireAvailable((int) size);
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
    requireAvailable(Long.BYTES);
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
    requireAvailable(1);
    return bytes[position++] & 0xff;
  }

  private void requireAvailable(int count) {
    if (count < 0 || position + count > limit) {
      throw new UnreadableCaptureException("a frame that ends too soon");
    }
  }
}
