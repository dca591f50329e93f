package tidebank.backend;

import java.util.ArrayList;
import java.util.List;

/**
 * Tracks how far a shard server is known to have read the byte stream of one connection, and by
 * when it has to have read the frames of attempts that must not arrive late. A server that responds
 * to a request has read everything up to the end of that request's frame. Whatever was written
 * after it may still be in this machine's send buffer or on the way, from where it can reach the
 * server at any later time. Acknowledgements of TCP show nothing, as they may come from a proxy.
 * Times are in microseconds.
 */
final class DeliveryTracker {
  /**
   * How many bytes the server's system accepts from a connection while the server reads nothing:
   * the smallest receive buffer of Linux (the first value of {@code tcp_rmem}).
   */
  static final int MIN_RECEIVE_BUFFER_BYTES = 4096;

  /** Stands for no time. */
  static final long NEVER = Long.MAX_VALUE;

  /** A frame that has to be read in time. */
  private static final class Requirement {
    private final long position;
    private final long dueAt;
    private boolean probed;

    Requirement(long position, long dueAt) {
      this.position = position;
      this.dueAt = dueAt;
    }
  }

  private final long probeTimeoutUs;

  /** The frames that have to be read in time and are not known to be read. */
  private final List<Requirement> unmet = new ArrayList<>();

  private long writtenBytes;
  private long requestsEnd;
  private long readBytes;

  /**
   * Creates a tracker of a new connection.
   *
   * @param probeTimeoutUs how long before a frame has to be read the server is asked whether it
   *     was, if nothing has shown it until then
   */
  DeliveryTracker(long probeTimeoutUs) {
    this.probeTimeoutUs = probeTimeoutUs;
  }

  /**
   * Records a write of this many bytes, which may arrive at any time, such as a health check, and
   * returns the position at which they end.
   */
  long recordWrite(int bytes) {
    writtenBytes += bytes;
    return writtenBytes;
  }

  /** Records a write of requests, of this many bytes, and returns the position of their end. */
  long recordRequests(int bytes) {
    requestsEnd = recordWrite(bytes);
    return requestsEnd;
  }

  /** Records that the server has read the stream up to this position at least. */
  void recordRead(long position) {
    readBytes = Math.max(readBytes, position);
    unmet.removeIf(requirement -> isRead(requirement.position));
  }

  private boolean isRead(long position) {
    return position <= readBytes;
  }

  /** Returns whether the server is known to have read all requests that were written. */
  boolean areRequestsRead() {
    return isRead(requestsEnd);
  }

  /** Returns whether bytes before this position may not have reached the server's system yet. */
  boolean mayBeUndelivered(long position) {
    return position - readBytes > MIN_RECEIVE_BUFFER_BYTES;
  }

  /** Requires that the server is known by {@code dueAt} to have read up to this position. */
  void requireRead(long position, long dueAt) {
    if (dueAt != NEVER && !isRead(position)) {
      unmet.add(new Requirement(position, dueAt));
    }
  }

  /**
   * Requires the same for an attempt that was given up. Its frame may still arrive until the
   * attempt's deadline, and within the time that a probe of the server takes.
   */
  void requireReadAfterGivingUp(long position, long deadline, long now) {
    requireRead(position, Math.max(deadline, now + probeTimeoutUs));
  }

  /** Returns when to check next for a due probe or an unmet requirement, or {@link #NEVER}. */
  long nextCheckAt() {
    long next = NEVER;
    for (Requirement requirement : unmet) {
      next = Math.min(next, checkAt(requirement));
    }
    return next;
  }

  private long checkAt(Requirement requirement) {
    return requirement.probed ? requirement.dueAt : requirement.dueAt - probeTimeoutUs;
  }

  /** Returns whether a frame was not read in time. */
  boolean isOverdue(long now) {
    return unmet.stream().anyMatch(requirement -> now >= requirement.dueAt);
  }

  /** Returns whether the server should be asked now what it has read. */
  boolean isProbeDue(long now) {
    return unmet.stream()
        .anyMatch(requirement -> !requirement.probed && now >= checkAt(requirement));
  }

  /** Records that the server was asked behind all that was written, or cannot be asked. */
  void recordProbe() {
    unmet.forEach(requirement -> requirement.probed = true);
  }
}
