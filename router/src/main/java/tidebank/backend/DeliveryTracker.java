package tidebank.backend;

/**
 * Tracks how far a shard server is known to have read the byte stream of one connection. A server
 * that responds to a request has read everything up to the end of that request's frame. Whatever
 * was written after it may still be in this machine's send buffer, from where it can reach the
 * server at any later time.
 */
final class DeliveryTracker {
  /**
   * How many bytes the server's system accepts from a connection while the server reads nothing:
   * the smallest receive buffer of Linux (the first value of {@code tcp_rmem}).
   */
  static final int MIN_RECEIVE_BUFFER_BYTES = 4096;

  private long writtenBytes;
  private long readBytes;

  /** Records a write of this many bytes and returns the position at which they end. */
  long recordWrite(int bytes) {
    writtenBytes += bytes;
    return writtenBytes;
  }

  /** Records that the server has read the stream up to this position at least. */
  void recordRead(long position) {
    readBytes = Math.max(readBytes, position);
  }

  /** Returns whether the server is known to have read everything that was written. */
  boolean isAllRead() {
    return readBytes == writtenBytes;
  }

  /** Returns whether bytes before this position may not have reached the server's system yet. */
  boolean mayBeUndelivered(long position) {
    return position - readBytes > MIN_RECEIVE_BUFFER_BYTES;
  }
}
