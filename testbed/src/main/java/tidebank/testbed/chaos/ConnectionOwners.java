package tidebank.testbed.chaos;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Whose a connection is, by the system's tables (Linux): a relay stands at an address that all
 * processes share, and what is done to a link depends on who calls.
 */
final class ConnectionOwners {
  private static final int LOCAL = 1;
  private static final int REMOTE = 2;
  private static final int INODE = 9;

  private ConnectionOwners() {}

  /**
   * The name of the process whose end of a connection this is, or null.
   *
   * @param port of its end
   * @param peer port of the other end
   * @param processes by name, with their process numbers
   */
  static String owner(int port, int peer, Map<String, Long> processes) {
    String inode = inode(port, peer);
    if (inode != null) {
      for (Map.Entry<String, Long> process : processes.entrySet()) {
        if (holds(process.getValue(), "socket:[" + inode + "]")) {
          return process.getKey();
        }
      }
    }
    return null;
  }

  private static String inode(int port, int peer) {
    String local = String.format(":%04X", port);
    String remote = String.format(":%04X", peer);
    for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
      try {
        for (String line : Files.readAllLines(Path.of(table))) {
          String[] words = line.trim().split("\\s+");
          if (words.length > INODE
              && words[LOCAL].endsWith(local)
              && words[REMOTE].endsWith(remote)) {
            return words[INODE];
          }
        }
      } catch (IOException absent) {
        // No such table here: the other one is asked.
      }
    }
    return null;
  }

  private static boolean holds(long pid, String socket) {
    try (DirectoryStream<Path> files = Files.newDirectoryStream(Path.of("/proc/" + pid + "/fd"))) {
      for (Path file : files) {
        try {
          if (Files.readSymbolicLink(file).toString().equals(socket)) {
            return true;
          }
        } catch (IOException closed) {
          // It was closed meanwhile, so it is not the one.
        }
      }
    } catch (IOException gone) {
      // The process has ended.
    }
    return false;
  }
}
