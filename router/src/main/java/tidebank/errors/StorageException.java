package tidebank.errors;

import java.io.Serial;
import tidebank.errors.TidebankException.Retry;

/** Error conditions of folders and files that a process depends on. */
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
          "Check that fleet.folder in deploy/gatherer.toml exists, is the same for all"
              + " members, is writable for the router's user, and has free space. Queries are"
              + " still served in the meantime; the fleet report is delayed.")
  public static final class FleetFolderUnusable extends StorageException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public FleetFolderUnusable(String folder, String reason) {
      super("the shared folder " + folder + " cannot be used: " + reason);
    }
  }

  /** A snapshot of the coordinator's state is damaged or cannot be read. */
  @ErrorCondition(
      code = "TB-1107",
      retry = Retry.NO,
      advice =
          "Restore the folder from a backup. Without a backup, and only while all other"
              + " coordinators are running: move the folder away, start this coordinator with"
              + " an empty one, then restart the leader, and wait until this coordinator has"
              + " written a snapshot.")
  public static final class CorruptSnapshot extends StorageException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public CorruptSnapshot(String file, String reason) {
      super("snapshot " + file + " cannot be used: " + reason);
    }
  }

  /** The coordinator's data directory cannot be read or written, or is in use. */
  @ErrorCondition(
      code = "TB-1108",
      retry = Retry.NO,
      advice =
          "Make the folder named in deploy/steward.toml writable for the coordinator's"
              + " user, free some space in it, or name another folder; and stop any other"
              + " coordinator that uses it.")
  public static final class DataDirectoryUnusable extends StorageException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public DataDirectoryUnusable(String folder, String reason) {
      super("data directory " + folder + " cannot be used: " + reason);
    }
  }
}
