package tidebank.backend;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A batch of attempts sent in one frame. Occupies one stream slot of its connection until its last
 * attempt completes.
 */
final class RequestBatch {
  private final ConnectionPool pool;
  private final List<InFlightAttempt> attempts = new ArrayList<>();
  private final List<InFlightAttempt> attemptsView = Collections.unmodifiableList(attempts);
  private ShardConnection connection;

  /** Where the frame ends in the byte stream of the connection, once its write has started. */
  private long endPosition;

  RequestBatch(ConnectionPool pool) {
    this.pool = pool;
  }

  ConnectionPool pool() {
    return pool;
  }

  /** Returns a live view of the attempts that have not completed. */
  List<InFlightAttempt> attempts() {
    return attemptsView;
  }

  /** Returns a copy of {@link #attempts()} that is safe to iterate while attempts complete. */
  List<InFlightAttempt> copyOfAttempts() {
    return List.copyOf(attempts);
  }

  void add(InFlightAttempt attempt) {
    attempts.add(attempt);
  }

  void remove(InFlightAttempt attempt) {
    attempts.remove(attempt);
  }

  boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** Returns the connection that this batch is assigned to, or null if there is none yet. */
  ShardConnection connection() {
    return connection;
  }

  long endPosition() {
    return endPosition;
  }

  void setEndPosition(long position) {
    endPosition = position;
  }

  void assignTo(ShardConnection assigned) {
    connection = assigned;
  }
}
