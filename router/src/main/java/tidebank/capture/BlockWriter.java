package tidebank.capture;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * A growing byte buffer with the primitives of the capture format: varints, zigzag varints, fixed
 * eight-byte numbers, strings that are numbered when they first occur, and frames, which are a kind
 * and a length followed by the content.
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

  /** The buffer itself, valid up to {@link #length()}; it is not copied. */
  byte[] array() {
    return bytes;
  }

  /** Opens a frame; the returned position goes to {@link #endFrame}. */
  int beginFrame(int kind) {
    writeByte(kind);
    int lengthPosition = length;
    ensureCapacity(CaptureFormat.LENGTH_BYTES);
    length += CaptureFormat.LENGTH_BYTES;
    return lengthPosition;
  }

  /** Closes a frame: fills in the length of what was written since it was opened. */
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
    Integer known = strings.get(text);
    if (known != null) {
      writeVarint(known + CaptureFormat.STRING_FIRST_KNOWN);
      return;
    }
    strings.put(text, strings.size());
    writeVarint(CaptureFormat.STRING_NEW);
    writeBytes(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Writes the length and the bytes. */
  void writeBytes(byte[] content) {
    writeVarint(content.length);
    ensureCapacity(content.length);
    System.arraycopy(content, 0, bytes, length, content.length);
    length += content.length;
  }

  void writeDouble(double value) {
    writeLong(Double.doubleToLongBits(value));
  }

  /** Writes eight bytes, the highest first. */
  void writeLong(long value) {
    ensureCapacity(Long.BYTES);
    for (int i = Long.BYTES - 1; i >= 0; i--) {
      bytes[length++] = (byte) (value >>> (8 * i));
    }
  }

  /** Writes a number of either sign in zigzag form. */
  void writeSignedVarint(long value) {
    writeVarint((value << 1) ^ (value >> 63));
  }

  void writeVarint(long value) {
    ensureCapacity(MAX_VARINT_BYTES);
    long rest = value;
    while ((rest & ~0x7fL) != 0) {
      bytes[length++] = (byte) ((rest & 0x7f) | 0x80);
      rest >>>= 7;
    }
    bytes[length++] = (byte) rest;
  }

  void writeBoolean(boolean value) {
    writeByte(value ? 1 : 0);
  }

  void writeByte(int value) {
    ensureCapacity(1);
    bytes[length++] = (byte) value;
  }

  private void ensureCapacity(int more) {
    if (length + more > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(length + more, 2 * bytes.length));
    }
  }
}
