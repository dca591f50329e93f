package tidebank.lease;

import java.util.List;
import tidebank.errors.TidebankException;

/**
 * What a command came to.
 *
 * @param error what kept it from taking effect, or null
 * @param leases all that the member owns now; told to members only
 * @param assignedTasks duties that it should claim
 * @param config what the grants were given by
 * @param revision what is published now, where the command was about that
 */
public record CommandResult(
    TidebankException.Details error,
    List<Grant> leases,
    List<String> assignedTasks,
    LeaseConfig config,
    long revision) {
  /** A duty that the member owns, by this token. */
  public record Grant(String task, long fencingToken) {}
}
