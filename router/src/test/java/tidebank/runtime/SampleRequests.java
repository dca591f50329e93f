package tidebank.runtime;

import java.util.List;

/** Dispatches for tests of the side that carries them out. */
public final class SampleRequests {
  private SampleRequests() {}

  /** Returns a dispatch of the part {@code scan.shard}. */
  public static DispatchRequest request(String scan, int shard, byte[] text, long stopAt) {
    ScanRequest.Range range = new ScanRequest.Range(shard, 1, "");
    ScanRequest request =
        new ScanRequest(scan, "whole", "a", 0, stopAt, false, "", text, List.of(range));
    HeldScan held = new HeldScan(request, 1, null);
    return new DispatchRequest(new HeldScan.HeldPart(held, range), 1, "s" + shard, text, stopAt, 0);
  }
}
