package tidebank.backend;

import java.util.Map;
import tidebank.model.Idempotency;
import tidebank.model.QueryClass;

/**
 * The times within which shard servers recognize idempotency keys. A shard request with a key that
 * arrives after this time may be executed a second time.
 */
final class KeyWindows {
  private final Map<String, QueryClass> queryClasses;

  KeyWindows(Map<String, QueryClass> queryClasses) {
    this.queryClasses = queryClasses;
  }

  /**
   * Returns when the key of a shard request may no longer be recognized, in microseconds; {@link
   * DeliveryTracker#NEVER} if its query class has none.
   *
   * @param firstAttemptAt when the first attempt was decided, so before it can have been executed
   */
  long endsAt(String queryClass, long firstAttemptAt) {
    QueryClass known = queryClasses.get(queryClass);
    return known != null && known.idempotency() == Idempotency.WITH_KEY
        ? firstAttemptAt + known.idempotencyWindowUs()
        : DeliveryTracker.NEVER;
  }
}
