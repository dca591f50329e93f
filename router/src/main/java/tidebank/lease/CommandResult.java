package tidebank.lease;

import java.util.List;
import tidebank.errors.TidebankException;

/**
 * The result of a {@link LeaseCommand}.
 *
 * @param error why the command had no effect, or null
 * @param leases all leases that the command's session holds now; empty for operators
 * @param assignedTasks the tasks that the member holds or should claim
 * @param config what leases are granted by
 * @param revision the revision of the value that the command published, or 0
 */
public record CommandResult(
    TidebankException.Details error,
    List<Grant> leases,
    List<String> assignedTasks,
    LeaseConfig config,
    long revision) {
  /** A task whose lease the session holds, and the fencing token it was granted with. */
  public record Grant(String task, long fencingToken) {}
}
