package tidebank.lease;

/**
 * The last command of an operator's session, so that a repeated one takes effect once.
 *
 * @param session the session's name
 * @param lastSequence the number of its last command
 * @param lastResult the result of that command
 */
public record OperatorSession(String session, long lastSequence, CommandResult lastResult) {}
