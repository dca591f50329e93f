package tidebank.capture;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * The segment files of a capture. A segment is a header (magic, version, segment number, checksum)
 * followed by blocks. A block is its compressed length, its uncompressed length, the CRC32C of both
 * lengths and the compressed bytes, and the compressed bytes. Readers stop at the first incomplete
 * or damaged block and report it.
 */
public final class CaptureSegments {
  private static final long MAGIC = 0x5442_4341_5054_0001L;
  private static final int VERSION = 1;
  private static final int VERSION_OFFSET = Long.BYTES;
  private static final int CHECKSUM_OFFSET = Long.BYTES + Integer.BYTES + Long.BYTES;
  private static final int HEADER_BYTES = CHECKSUM_OFFSET + Integer.BYTES;
  private static final int BLOCK_CHECKSUM_OFFSET = 2 * Integer.BYTES;
  private static final int BLOCK_HEADER_BYTES = 3 * Integer.BYTES;
  private static final int MAX_BLOCK_BYTES = 64 << 20;
  private static final Pattern FILE_NAME = Pattern.compile("capture-(\\d{8})\\.tbc");

  private CaptureSegments() {}

  static Path path(Path directory, long number) {
    return directory.resolve(String.format("capture-%08d.tbc", number));
  }

  /**
   * Returns the segment files of a directory, oldest first.
   *
   * @throws IOException if the directory cannot be read
   */
  public static List<Path> list(Path directory) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files
          .filter(file -> FILE_NAME.matcher(file.getFileName().toString()).matches())
          .sorted()
          .toList();
    }
  }

  /** Returns the segment number in the file name, or -1 if it is not the name of a segment. */
  static long parseNumber(Path file) {
    Matcher matcher = FILE_NAME.matcher(file.getFileName().toString());
    return matcher.matches() ? Long.parseLong(matcher.group(1)) : -1;
  }

  /** A writer of one segment. Not thread-safe. */
  static final class SegmentWriter implements AutoCloseable {
    private final FileChannel channel;
    private final Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
    private long bytes;

    SegmentWriter(Path directory, long number) throws IOException {
      channel =
          FileChannel.open(
              path(directory, number), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
      try {
        ByteBuffer header =
            ByteBuffer.allocate(HEADER_BYTES).putLong(MAGIC).putInt(VERSION).putLong(number);
        header.putInt(headerChecksum(header.array())).flip();
        write(header);
      } catch (IOException exception) {
        channel.close();
        throw exception;
      }
    }

    /** Compresses a block and appends it in one write, so that only the last block can be torn. */
    void writeBlock(byte[] content) throws IOException {
      deflater.reset();
      deflater.setInput(content);
      deflater.finish();
      byte[] compressed = new byte[content.length + content.length / 100 + 64];
      int length = 0;
      while (!deflater.finished()) {
        length += deflater.deflate(compressed, length, compressed.length - length);
        if (length == compressed.length) {
          compressed = Arrays.copyOf(compressed, 2 * compressed.length);
        }
      }
      ByteBuffer block =
          ByteBuffer.allocate(BLOCK_HEADER_BYTES + length)
              .putInt(length)
              .putInt(content.length)
              .putInt(0)
              .put(compressed, 0, length);
      block.putInt(BLOCK_CHECKSUM_OFFSET, blockChecksum(content.length, compressed, length)).flip();
      write(block);
    }

    private void write(ByteBuffer buffer) throws IOException {
      while (buffer.hasRemaining()) {
        bytes += channel.write(buffer);
      }
    }

    /** Returns the current size of the file. */
    long bytes() {
      return bytes;
    }

    void force() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      deflater.end();
      channel.close();
    }
  }

  /**
   * The readable content of a segment.
   *
   * @param number the segment number in the file name, or -1
   * @param records the records of all complete blocks, in order
   * @param blocks number of complete blocks
   * @param validBytes size of the file up to the end of the last complete block
   * @param damage describes the unreadable part; "" if the whole file was read
   */
  public record SegmentContent(
      long number, List<CaptureRecord> records, int blocks, long validBytes, String damage) {}

  /**
   * Reads a segment up to the first block that is incomplete or damaged.
   *
   * @throws IOException if the file cannot be read or its format version is not supported
   */
  public static SegmentContent read(Path file) throws IOException {
    byte[] bytes = Files.readAllBytes(file);
    ByteBuffer in = ByteBuffer.wrap(bytes);
    if (bytes.length < HEADER_BYTES
        || in.getLong(0) != MAGIC
        || in.getInt(CHECKSUM_OFFSET) != headerChecksum(bytes)) {
      return new SegmentContent(parseNumber(file), List.of(), 0, 0, "no whole head of a capture");
    }
    if (in.getInt(VERSION_OFFSET) > VERSION) {
      throw new IOException(
          file
              + ": capture version "
              + in.getInt(VERSION_OFFSET)
              + " is newer than the supported version "
              + VERSION);
    }
    in.position(HEADER_BYTES);
    List<CaptureRecord> records = new ArrayList<>();
    int blocks = 0;
    String damage = "";
    while (in.hasRemaining() && damage.isEmpty()) {
      int start = in.position();
      try {
        records.addAll(readBlock(in));
        blocks++;
      } catch (DamagedBlockException exception) {
        in.position(start);
        damage =
            exception.getMessage()
                + "; "
                + in.remaining()
                + " bytes from byte "
                + in.position()
                + " on are not read";
      }
    }
    return new SegmentContent(parseNumber(file), records, blocks, in.position(), damage);
  }

  private static List<CaptureRecord> readBlock(ByteBuffer in) throws DamagedBlockException {
    if (in.remaining() < BLOCK_HEADER_BYTES) {
      throw new DamagedBlockException("a block's head is cut");
    }
    int compressedLength = in.getInt();
    int length = in.getInt();
    int checksum = in.getInt();
    if (compressedLength < 0
        || length < 0
        || length > MAX_BLOCK_BYTES
        || compressedLength > in.remaining()) {
      throw new DamagedBlockException("a block is cut, or its length is damaged");
    }
    byte[] compressed = new byte[compressedLength];
    in.get(compressed);
    if (checksum != blockChecksum(length, compressed, compressedLength)) {
      throw new DamagedBlockException("a block is damaged");
    }
    try {
      return new CaptureDecoder(decompress(compressed, length)).readRecords();
    } catch (UnreadableCaptureException | DataFormatException exception) {
      throw new DamagedBlockException("a block can't be understood: " + exception.getMessage());
    }
  }

  private static byte[] decompress(byte[] compressed, int length) throws DataFormatException {
    Inflater inflater = new Inflater(true);
    try {
      inflater.setInput(compressed);
      byte[] content = new byte[length];
      int inflatedBytes = 0;
      while (inflatedBytes < length && !inflater.finished() && !inflater.needsInput()) {
        inflatedBytes += inflater.inflate(content, inflatedBytes, length - inflatedBytes);
      }
      if (inflatedBytes != length) {
        throw new DataFormatException("a block of another length");
      }
      return content;
    } finally {
      inflater.end();
    }
  }

  private static int headerChecksum(byte[] header) {
    CRC32C crc = new CRC32C();
    crc.update(header, 0, CHECKSUM_OFFSET);
    return (int) crc.getValue();
  }

  private static int blockChecksum(int length, byte[] compressed, int compressedLength) {
    CRC32C crc = new CRC32C();
    crc.update(
        ByteBuffer.allocate(2 * Integer.BYTES).putInt(compressedLength).putInt(length).flip());
    crc.update(compressed, 0, compressedLength);
    return (int) crc.getValue();
  }

  /** Thrown when a block is truncated, damaged or cannot be decoded; the message says which. */
  private static final class DamagedBlockException extends Exception {
    private static final long serialVersionUID = 1L;

    DamagedBlockException(String reason) {
      super(reason, null, false, false);
    }
  }
}
