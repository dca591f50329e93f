package tidebank.runtime;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tidebank.runtime.ResponseCallback.Value;

/**
 * What the turn keeps for one scan, beside the module's state: the text, the values, who waits for
 * the answer.
 */
final class PendingQuery {
  final QueryRequest request;
  final long number;
  final Map<String, PendingShardRequest> requests = new LinkedHashMap<>();

  /** Null once the scan has had its final answer or its client has left. */
  ResponseCallback callback;

  /** When its client's connection was read last for it. */
  long clientReadAt;

  /** When the latest dispatch of it was begun. */
  long lastSentAt;

  PendingQuery(QueryRequest request, long number, ResponseCallback reply) {
    this.request = request;
    this.number = number;
    this.callback = reply;
    for (QueryRequest.ShardRange range : request.ranges()) {
      PendingShardRequest part = new PendingShardRequest(this, range);
      requests.put(part.id, part);
    }
  }

  /** The values that are in, in the request in which the client listed the parts. */
  List<Value> values() {
    return requests.values().stream()
        .filter(part -> part.value != null)
        .map(part -> new Value(part.range.shard(), part.value))
        .toList();
  }

  /** One of its parts. */
  static final class PendingShardRequest {
    final PendingQuery query;
    final QueryRequest.ShardRange range;
    final String id;
    final List<AttemptRequest> attempts = new ArrayList<>();
    byte[] value;

    PendingShardRequest(PendingQuery scan, QueryRequest.ShardRange range) {
      this.query = scan;
      this.range = range;
      this.id = id(scan.request, range);
    }

    /** The protocol's: the scan's id, a dot, the shard. */
    static String id(QueryRequest request, QueryRequest.ShardRange range) {
      return request.id() + '.' + range.shard();
    }
  }
}
