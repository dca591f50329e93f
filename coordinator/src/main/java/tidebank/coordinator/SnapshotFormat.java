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
 * The format of snapshots: the version as four bytes, the CRC-32C of the rest as eight, and the
 * content as JSON.
 */
final class SnapshotFormat {
  private static final int VERSION = 2;

  /** The version whose content was the state alone. */
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
   * Returns the content of a snapshot.
   *
   * @param name the file's name, for the error
   */
  static SnapshotContent decode(String name, byte[] bytes) throws StorageException.CorruptSnapshot {
    if (bytes.length < HEADER_BYTES) {
      throw new StorageException.CorruptSnapshot(name, "it is " + bytes.length + " bytes short");
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    int version = buffer.getInt();
    if (version != VERSION && version != VERSION_WITHOUT_AUDIT_LOG) {
      throw new StorageException.CorruptSnapshot(
          name, "its version is " + version + ", not " + VERSION);
    }
    if (buffer.getLong() != checksum(bytes, HEADER_BYTES)) {
      throw new StorageException.CorruptSnapshot(name, "its check does not fit its content");
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

  /** Writes beside the file, forces, then moves: a snapshot is there complete or not at all. */
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
