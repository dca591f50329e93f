package tidebank.lease;

import java.util.List;
import tidebank.errors.TidebankException;

/**
 * What a command came to.
 *
 * @param fault what kept it from taking effect, or null
 * @param grants all that the member owns now; told to members only
 * @param wanted duties that it should claim
 * @param terms what the grants were given by
 * @param revision what is published now, where the command was about that
 */
public record CommandResult(
    TidebankException.Details fault,
    List<Grant> grants,
    List<String> wanted,
    LeaseConfig terms,
    long revision) {
  /** A duty that the member owns, by this token. */
  public record Grant(String duty, long token) {}
}
