package tidebank.frontend;

/**
 * Decides how many HTTP messages of the clients are parsed in an event loop pass, so that no pass
 * takes long and no connection delays the others. A part of a message that the decoder passes on by
 * itself, such as a chunk of a body, counts as a message.
 */
final class ParseQuota {
  /** Parsed for each connection in any case, enough for a small request with its body. */
  static final int GUARANTEED_MESSAGES = 4;

  /** The most that is parsed for one connection; some times the requests that it may pipeline. */
  static final int MAX_MESSAGES = 64;

  /** Shared by all connections, for what goes beyond the guaranteed messages. */
  static final int SHARED_MESSAGES = 128;

  /** The time after which nothing of the shared quota is left, as messages may be slow to parse. */
  static final long SHARED_TIME_US = 10_000;

  /** What one connection has used of the quota. */
  static final class Usage {
    private long passNumber;
    private int messages;
  }

  private long passNumber;
  private long passBeganAt;
  private int sharedMessages;

  /**
   * Returns whether another message of a connection may be parsed in this pass. What follows
   * pending requests does not wait for the shared quota, as their number is limited.
   */
  boolean allows(Usage usage, boolean hasPendingRequests, long currentPass, long now) {
    boolean isSharedQuotaUsed = isSharedQuotaUsed(currentPass, now);
    beginPass(usage, currentPass);
    return usage.messages < GUARANTEED_MESSAGES
        || (usage.messages < MAX_MESSAGES && (hasPendingRequests || !isSharedQuotaUsed));
  }

  /** Records that a message of a connection was parsed, which {@link #allows} has allowed. */
  void recordMessage(Usage usage) {
    usage.messages++;
    if (usage.messages > GUARANTEED_MESSAGES) {
      sharedMessages++;
    }
  }

  /** Records a read of input that is dropped, which uses the shared quota in any case. */
  void recordDroppedRead() {
    sharedMessages++;
  }

  /** Returns whether connections have used up in this pass what they share. */
  boolean isSharedQuotaUsed(long currentPass, long now) {
    if (passNumber != currentPass) {
      passNumber = currentPass;
      passBeganAt = now;
      sharedMessages = 0;
    }
    return sharedMessages >= SHARED_MESSAGES || now - passBeganAt >= SHARED_TIME_US;
  }

  private void beginPass(Usage usage, long currentPass) {
    if (usage.passNumber != currentPass) {
      usage.passNumber = currentPass;
      usage.messages = 0;
    }
  }
}
