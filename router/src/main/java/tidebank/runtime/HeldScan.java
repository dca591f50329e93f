package tidebank.runtime;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tidebank.runtime.Reply.Value;

/**
 * What the turn keeps for one scan, beside the module's state: the text, the values, who waits for
 * the answer.
 */
final class HeldScan {
  final ScanRequest request;
  final long number;
  final Map<String, HeldPart> parts = new LinkedHashMap<>();

  /** Null once the scan has had its final answer or its client has left. */
  Reply reply;

  /** When its client's connection was read last for it. */
  long clientReadAt;

  /** When the latest dispatch of it was begun. */
  long lastSentAt;

  HeldScan(ScanRequest request, long number, Reply reply) {
    this.request = request;
    this.number = number;
    this.reply = reply;
    for (ScanRequest.Range range : request.ranges()) {
      HeldPart part = new HeldPart(this, range);
      parts.put(part.id, part);
    }
  }

  /** The values that are in, in the request in which the client listed the parts. */
  List<Value> values() {
    return parts.values().stream()
        .filter(part -> part.value != null)
        .map(part -> new Value(part.range.shard(), part.value))
        .toList();
  }

  /** One of its parts. */
  static final class HeldPart {
    final HeldScan scan;
    final ScanRequest.Range range;
    final String id;
    final List<DispatchRequest> requests = new ArrayList<>();
    byte[] value;

    HeldPart(HeldScan scan, ScanRequest.Range range) {
      this.scan = scan;
      this.range = range;
      this.id = id(scan.request, range);
    }

    /** The protocol's: the scan's id, a dot, the shard. */
    static String id(ScanRequest request, ScanRequest.Range range) {
      return request.id() + '.' + range.shard();
    }
  }
}
