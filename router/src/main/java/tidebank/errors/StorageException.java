package tidebank.errors;

import java.io.Serial;
import tidebank.errors.TidebankException.Retry;

/** Conditions of folders and files that a process depends on. */
public abstract sealed class StorageException extends TidebankException {
  @Serial private static final long serialVersionUID = 1L;

  private StorageException(String message) {
    super(message);
  }

  /** The fleet's shared folder cannot be read or written. */
  @ErrorCondition(
      code = "TB-1014",
      retry = Retry.LATER,
      advice =
          "See that fleet.folder in deploy/gatherer.toml is there, the same for all members,"
              + " writable for the gatherer's user, and has space. Scans are served meanwhile; the"
              + " fleet's report waits.")
  public static final class FleetFolderUnusable extends StorageException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public FleetFolderUnusable(String folder, String reason) {
      super("the fleet's folder " + folder + " can't be used: " + reason);
    }
  }

  /** A snapshot of the replicated log's state is unreadable. */
  @ErrorCondition(
      code = "TB-1107",
      retry = Retry.NO,
      advice =
          "Bring the folder back from a copy. Without one, and only while all other stewards run:"
              + " move it away, start this steward empty, then restart the one that leads, and wait"
              + " until this one has written a snapshot.")
  public static final class CorruptSnapshot extends StorageException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public CorruptSnapshot(String file, String reason) {
      super("snapshot " + file + " can't be used: " + reason);
    }
  }

  /** The steward's storage folder cannot be read or written. */
  @ErrorCondition(
      code = "TB-1108",
      retry = Retry.NO,
      advice =
          "Make the folder of deploy/steward.toml writable for the steward's user, free some space"
              + " in it, or name another one; and end any other steward that uses it.")
  public static final class DataDirectoryUnusable extends StorageException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public DataDirectoryUnusable(String folder, String reason) {
      super("folder " + folder + " can't be used: " + reason);
    }
  }
}
