package tidebank.lease;

/**
 * The last command of an operator session, kept so that a repeated command takes effect only once.
 *
 * @param session the session's name
 * @param lastSequence the sequence number of its last command
 * @param lastResult the result of that command
 */
public record OperatorSession(String session, long lastSequence, CommandResult lastResult) {}
