package tidebank.testbed.chaos;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A lookup of the process that owns one end of a TCP connection on this machine, based on {@code
 * /proc/net/tcp} and {@code /proc/PID/fd}. Linux only.
 */
final class ConnectionOwners {
  private static final List<String> SOCKET_TABLES = List.of("/proc/net/tcp", "/proc/net/tcp6");
  private static final int LOCAL_ADDRESS_COLUMN = 1;
  private static final int REMOTE_ADDRESS_COLUMN = 2;
  private static final int INODE_COLUMN = 9;

  private ConnectionOwners() {}

  /**
   * Returns the name of the process that owns one end of a connection, or null if none of the given
   * processes does.
   *
   * @param port port of that end
   * @param peerPort port of the other end
   * @param pidByName IDs of the processes to consider, by name
   */
  static String findOwner(int port, int peerPort, Map<String, Long> pidByName) {
    String inode = findInode(port, peerPort);
    if (inode != null) {
      for (Map.Entry<String, Long> process : pidByName.entrySet()) {
        if (hasOpenFile(process.getValue(), "socket:[" + inode + "]")) {
          return process.getKey();
        }
      }
    }
    return null;
  }

  private static String findInode(int port, int peerPort) {
    String local = String.format(":%04X", port);
    String remote = String.format(":%04X", peerPort);
    for (String table : SOCKET_TABLES) {
      try {
        for (String line : Files.readAllLines(Path.of(table))) {
          String[] columns = line.trim().split("\\s+");
          if (columns.length > INODE_COLUMN
              && columns[LOCAL_ADDRESS_COLUMN].endsWith(local)
              && columns[REMOTE_ADDRESS_COLUMN].endsWith(remote)) {
            return columns[INODE_COLUMN];
          }
        }
      } catch (IOException fault) {
        // The table does not exist, for example where IPv6 is disabled.
      }
    }
    return null;
  }

  private static boolean hasOpenFile(long pid, String socket) {
    try (DirectoryStream<Path> files = Files.newDirectoryStream(Path.of("/proc/" + pid + "/fd"))) {
      for (Path file : files) {
        if (isLinkTo(file, socket)) {
          return true;
        }
      }
    } catch (IOException fault) {
      // The process has ended.
    }
    return false;
  }

  private static boolean isLinkTo(Path file, String target) {
    try {
      return Files.readSymbolicLink(file).toString().equals(target);
    } catch (IOException fault) {
      // The descriptor was closed in the meantime, so it is not the open connection.
      return false;
    }
  }
}
