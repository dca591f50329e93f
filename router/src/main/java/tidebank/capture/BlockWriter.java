package tidebank.capture;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * A growing byte buffer that encodes the primitive values of the capture format: varints, zigzag
 * varints, eight-byte numbers, strings and frames. A string is written in full once per block and
 * by its index after that. A frame is a kind, a length and the content.
 */
final class BlockWriter {
  private static final int INITIAL_BYTES = 4096;
  private static final int MAX_VARINT_BYTES = 10;

  private final Map<String, Integer> strings = new HashMap<>();
  private byte[] bytes = new byte[INITIAL_BYTES];
  private int length;

  int length() {
    return length;
  }

  byte[] toByteArray() {
    return Arrays.copyOf(bytes, length);
  }

  /** Returns the underlying buffer, not a copy. It is valid up to {@link #length()}. */
  byte[] array() {
    return bytes;
  }

  /** Opens a frame and returns the position of its length field, for {@link #endFrame}. */
  int beginFrame(int kind) {
    writeByte(kind);
    int lengthPosition = length;
    ensureCapacity(CaptureFormat.LENGTH_BYTES);
    length += CaptureFormat.LENGTH_BYTES;
    return lengthPosition;
  }

  /** Closes a frame: writes the size of its content into the length field. */
  void endFrame(int lengthPosition) {
    int size = length - lengthPosition - CaptureFormat.LENGTH_BYTES;
    for (int i = 0; i < CaptureFormat.LENGTH_BYTES; i++) {
      bytes[lengthPosition + i] = (byte) (size >>> (8 * (CaptureFormat.LENGTH_BYTES - 1 - i)));
    }
  }

  void writeString(String text) {
    if (text == null) {
      writeVarint(CaptureFormat.STRING_NULL);
      return;
    }
    Integer index = strings.get(text);
    if (index != null) {
      writeVarint(index + CaptureFormat.STRING_FIRST_KNOWN);
      return;
    }
    strings.put(text, strings.size());
    writeVarint(CaptureFormat.STRING_NEW);
    writeBytes(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Writes the length of the content, then the content. */
  void writeBytes(byte[] content) {
    writeVarint(content.length);
    ensureCapacity(content.length);
    System.arraycopy(content, 0, bytes, length, content.length);
    length += content.length;
  }

  void writeDouble(double value) {
    writeLong(Double.doubleToLongBits(value));
  }

  /** Writes eight bytes in big-endian order. */
  void writeLong(long value) {
    ensureCapacity(Long.BYTES);
    for (int i = Long.BYTES - 1; i >= 0; i--) {
      bytes[length++] = (byte) (value >>> (8 * i));
    }
  }

  /** Writes a signed number as a zigzag varint. */
  void writeSignedVarint(long value) {
    writeVarint((value << 1) ^ (value >> 63));
  }

  void writeVarint(long value) {
    ensureCapacity(MAX_VARINT_BYTES);
    long remaining = value;
    while ((remaining & ~0x7fL) != 0) {
      bytes[length++] = (byte) ((remaining & 0x7f) | 0x80);
      remaining >>>= 7;
    }
    bytes[length++] = (byte) remaining;
  }

  void writeBoolean(boolean value) {
    writeByte(value ? 1 : 0);
  }

  void writeByte(int value) {
    ensureCapacity(1);
    bytes[length++] = (byte) value;
  }

  private void ensureCapacity(int additionalBytes) {
    if (length + additionalBytes > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(length + additionalBytes, 2 * bytes.length));
    }
  }
}
