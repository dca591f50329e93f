package tidebank.capture;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * The files of a capture. A segment is a head (magic, version, its number, a checksum) and blocks:
 * packed length, plain length, CRC32C over both and the packed bytes, the bytes. A block is whole
 * or it is none; what stands behind the first that is not is never read as data, and is told.
 */
public final class CaptureSegments {
  static final long MAGIC = 0x5442_4341_5054_0001L;
  static final int VERSION = 1;
  static final int HEAD = 8 + 4 + 8 + 4;
  private static final int BLOCK_HEAD = 12;
  private static final int BLOCK_MOST = 64 << 20;
  private static final Pattern NAME = Pattern.compile("capture-(\\d{8})\\.tbc");

  private CaptureSegments() {}

  static Path path(Path folder, long number) {
    return folder.resolve(String.format("capture-%08d.tbc", number));
  }

  /** The segments of a folder, the oldest first. */
  public static List<Path> in(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(file -> NAME.matcher(file.getFileName().toString()).matches())
          .sorted()
          .toList();
    }
  }

  static long number(Path file) {
    Matcher name = NAME.matcher(file.getFileName().toString());
    return name.matches() ? Long.parseLong(name.group(1)) : -1;
  }

  /** Writes one segment. */
  static final class Writer implements AutoCloseable {
    private final FileChannel channel;
    private final Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
    private long bytes;

    Writer(Path folder, long number) throws IOException {
      channel =
          FileChannel.open(
              path(folder, number), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
      try {
        ByteBuffer head = ByteBuffer.allocate(HEAD).putLong(MAGIC).putInt(VERSION).putLong(number);
        head.putInt(crc(head.array(), 0, HEAD - 4)).flip();
        write(head);
      } catch (IOException fault) {
        channel.close();
        throw fault;
      }
    }

    /** One block, in one write: what is torn is at the end. */
    void block(byte[] plain) throws IOException {
      deflater.reset();
      deflater.setInput(plain);
      deflater.finish();
      byte[] packed = new byte[plain.length + plain.length / 100 + 64];
      int length = 0;
      while (!deflater.finished()) {
        length += deflater.deflate(packed, length, packed.length - length);
        if (length == packed.length) {
          packed = java.util.Arrays.copyOf(packed, 2 * packed.length);
        }
      }
      ByteBuffer block =
          ByteBuffer.allocate(BLOCK_HEAD + length)
              .putInt(length)
              .putInt(plain.length)
              .putInt(0)
              .put(packed, 0, length);
      block.putInt(8, blockCrc(length, plain.length, packed, length)).flip();
      write(block);
    }

    private void write(ByteBuffer buffer) throws IOException {
      while (buffer.hasRemaining()) {
        bytes += channel.write(buffer);
      }
    }

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

  private static int blockCrc(int packed, int plain, byte[] bytes, int length) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(8).putInt(packed).putInt(plain).flip());
    crc.update(bytes, 0, length);
    return (int) crc.getValue();
  }

  private static int crc(byte[] bytes, int from, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, length);
    return (int) crc.getValue();
  }

  /**
   * What was read of a segment.
   *
   * @param entries of all whole blocks
   * @param blocks how many
   * @param bytes how many of the file were understood
   * @param torn what stood behind them, in words; "" if nothing
   */
  public record Read(
      long number, List<CaptureRecord> entries, int blocks, long bytes, String torn) {}

  /** Reads a segment as far as it is whole. */
  public static Read read(Path file) throws IOException {
    byte[] all = Files.readAllBytes(file);
    ByteBuffer in = ByteBuffer.wrap(all);
    if (all.length < HEAD
        || in.getLong(0) != MAGIC
        || in.getInt(HEAD - 4) != crc(all, 0, HEAD - 4)) {
      return new Read(number(file), List.of(), 0, 0, "no whole head of a capture");
    }
    if (in.getInt(8) > VERSION) {
      throw new IOException(
          file + ": version " + in.getInt(8) + " is newer than the known " + VERSION);
    }
    in.position(HEAD);
    List<CaptureRecord> entries = new ArrayList<>();
    int blocks = 0;
    String torn = "";
    while (in.hasRemaining() && torn.isEmpty()) {
      int start = in.position();
      if (in.remaining() < BLOCK_HEAD) {
        torn = "a block's head is cut";
        break;
      }
      int packed = in.getInt();
      int plain = in.getInt();
      int crc = in.getInt();
      if (packed < 0 || plain < 0 || plain > BLOCK_MOST || packed > in.remaining()) {
        torn = "a block is cut, or its length is damaged";
      } else {
        byte[] bytes = new byte[packed];
        in.get(bytes);
        if (crc != blockCrc(packed, plain, bytes, packed)) {
          torn = "a block is damaged";
        } else {
          try {
            entries.addAll(new CaptureCodec.Decoder(unpacked(bytes, plain)).entries());
            blocks++;
            continue;
          } catch (CaptureCodec.Unreadable | DataFormatException fault) {
            torn = "a block can't be understood: " + fault.getMessage();
          }
        }
      }
      in.position(start);
    }
    if (!torn.isEmpty()) {
      torn += "; " + in.remaining() + " bytes from byte " + in.position() + " on are not read";
    }
    return new Read(number(file), entries, blocks, in.position(), torn);
  }

  private static byte[] unpacked(byte[] bytes, int plain) throws DataFormatException {
    Inflater inflater = new Inflater(true);
    try {
      inflater.setInput(bytes);
      byte[] to = new byte[plain];
      int length = 0;
      while (length < plain && !inflater.finished() && !inflater.needsInput()) {
        length += inflater.inflate(to, length, plain - length);
      }
      if (length != plain) {
        throw new DataFormatException("a block of another length");
      }
      return to;
    } finally {
      inflater.end();
    }
  }
}
