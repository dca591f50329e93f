package tidebank.coordinator;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Map;
import java.util.zip.CRC32C;
import tidebank.coordinator.LeaseStateMachine.SnapshotContent;
import tidebank.errors.StorageException;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.LeaseTableState;

/**
 * The format of snapshots: a version in four bytes, the CRC-32C of the content in eight bytes, and
 * the content as JSON.
 */
final class SnapshotFormat {
  private static final int VERSION = 2;

  /** The previous version, which held the state only. */
  private static final int VERSION_WITHOUT_AUDIT_LOG = 1;

  private static final int HEADER_BYTES = Integer.BYTES + Long.BYTES;

  private SnapshotFormat() {}

  static byte[] encode(SnapshotContent content) {
    byte[] json = LeaseCodec.write(content);
    return ByteBuffer.allocate(HEADER_BYTES + json.length)
        .putInt(VERSION)
        .putLong(checksum(json, 0))
        .put(json)
        .array();
  }

  /**
   * Decodes a snapshot.
   *
   * @param name the file's name, for the error message
   * @throws StorageException.CorruptSnapshot if the snapshot is truncated, damaged or of an unknown
   *     version
   */
  static SnapshotContent decode(String name, byte[] bytes) throws StorageException.CorruptSnapshot {
    if (bytes.length < HEADER_BYTES) {
      throw new StorageException.CorruptSnapshot(name, "it has only " + bytes.length + " bytes");
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    int version = buffer.getInt();
    if (version != VERSION && version != VERSION_WITHOUT_AUDIT_LOG) {
      throw new StorageException.CorruptSnapshot(
          name,
          "its version is "
              + version
              + ", expected "
              + VERSION_WITHOUT_AUDIT_LOG
              + " or "
              + VERSION);
    }
    if (buffer.getLong() != checksum(bytes, HEADER_BYTES)) {
      throw new StorageException.CorruptSnapshot(name, "its checksum does not match its content");
    }
    try {
      byte[] json = Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length);
      return version == VERSION
          ? LeaseCodec.read(json, SnapshotContent.class)
          : new SnapshotContent(LeaseCodec.read(json, LeaseTableState.class), Map.of());
    } catch (IOException exception) {
      throw new StorageException.CorruptSnapshot(name, exception.getMessage());
    }
  }

  private static long checksum(byte[] bytes, int from) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, bytes.length - from);
    return crc.getValue();
  }

  /**
   * Writes a temporary file, flushes it to disk and renames it, so that a snapshot is never visible
   * half-written.
   */
  static void writeAtomically(Path file, byte[] bytes) throws IOException {
    Path partial = file.resolveSibling(file.getFileName() + ".part");
    try (FileChannel channel =
        FileChannel.open(
            partial,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      while (buffer.hasRemaining()) {
        channel.write(buffer);
      }
      channel.force(true);
    }
    Files.move(partial, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}
