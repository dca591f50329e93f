package tidebank.testbed.scale;

import java.util.Optional;

/** How much memory a size may take, as a bound known before it is tried. */
final class MemoryNeed {
  /** Above what a line of the list takes with both ends of its transfer in one process. */
  private static final long BYTES_PER_LIST_ENTRY = 4096;

  private static final long BYTES_PER_GATHERER = 2 << 20;
  private static final long BYTES_AT_REST = 64 << 20;
  private static final long MB = 1 << 20;

  private MemoryNeed() {}

  static long bytes(Size size) {
    return BYTES_AT_REST
        + size.gatherers() * BYTES_PER_GATHERER
        + (long) Driver.LIST_ENTRIES.count(size) * BYTES_PER_LIST_ENTRY;
  }

  /**
   * Why a size is not to be tried, or nothing.
   *
   * @param machineBytes the machine's memory, of which half is ours
   * @param heapBytes the most that this process' heap may grow to
   */
  static Optional<String> refusal(Size size, long machineBytes, long heapBytes) {
    long need = bytes(size);
    long least = Math.min(machineBytes / 2, heapBytes);
    if (need <= least) {
      return Optional.empty();
    }
    return Optional.of(
        size
            + " may take "
            + need / MB
            + " MB: more than "
            + least / MB
            + " MB, the lesser of half of the machine's memory and this process' heap");
  }
}
