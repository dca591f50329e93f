package tidebank.lease;

import java.util.List;
import tidebank.errors.TidebankException;

/**
 * The result of a {@link LeaseCommand}.
 *
 * @param error the reason why the command had no effect, or null if it took effect
 * @param leases all leases that the command's session holds after the command; empty for operators
 * @param assignedTasks the tasks assigned to the member that it holds or can claim at once; empty
 *     for operators
 * @param config the lease configuration in force
 * @param revision the revision of the value that the command published, or 0
 */
public record CommandResult(
    TidebankException.Details error,
    List<Grant> leases,
    List<String> assignedTasks,
    LeaseConfig config,
    long revision) {
  /** A task that the session holds the lease of, with the fencing token of the grant. */
  public record Grant(String task, long fencingToken) {}
}
