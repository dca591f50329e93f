package tidebank.testbed.scale;

import java.util.Optional;

/** An upper bound of the memory that measuring a size takes, known before the measurement. */
final class MemoryEstimate {
  /** Upper bound for one list entry, with both ends of its transfer in this process. */
  private static final long BYTES_PER_LIST_ENTRY = 4096;

  private static final long BYTES_PER_ROUTER = 2 << 20;
  private static final long BASE_BYTES = 64 << 20;
  private static final long MB = 1 << 20;

  private MemoryEstimate() {}

  /** Returns the upper bound in bytes. */
  static long requiredBytes(Size size) {
    return BASE_BYTES
        + size.gatherers() * BYTES_PER_ROUTER
        + (long) Driver.LIST_ENTRIES.count(size) * BYTES_PER_LIST_ENTRY;
  }

  /**
   * Returns why a size must not be measured, or empty if there is enough memory.
   *
   * @param machineBytes memory of the machine, half of which this process may use
   * @param heapBytes maximum heap size of this process
   */
  static Optional<String> rejectionReason(Size size, long machineBytes, long heapBytes) {
    long required = requiredBytes(size);
    long available = Math.min(machineBytes / 2, heapBytes);
    if (required <= available) {
      return Optional.empty();
    }
    return Optional.of(
        size
            + " may need "
            + required / MB
            + " MB, more than the limit of "
            + available / MB
            + " MB, the smaller of half of the machine's memory and the maximum heap size");
  }
}
