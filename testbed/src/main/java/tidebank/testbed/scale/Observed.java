package tidebank.testbed.scale;

import java.util.List;

/**
 * What one measurement saw, before it is put into quantities.
 *
 * @param firstLists the calls in which each gatherer got its first whole list
 * @param changes the calls in which changes were told
 * @param idle the calls that were answered with nothing
 * @param firstListCpu processor time of first lists, {@code changesCpu} that of all changes
 * @param heapBytes that the gatherers retain together
 * @param descriptors of both sides
 */
record Observed(
    Size size,
    int listChanges,
    List<Exchange> firstLists,
    List<Exchange> changes,
    List<Exchange> idle,
    ProcessorTime firstListCpu,
    ProcessorTime changesCpu,
    long heapBytes,
    Descriptors descriptors) {
  /** Of the gatherers' event loop and of discovery's, in microseconds. */
  record ProcessorTime(double gatherersUs, double discoveryUs) {
    ProcessorTime minus(ProcessorTime before) {
      return new ProcessorTime(gatherersUs - before.gatherersUs, discoveryUs - before.discoveryUs);
    }
  }

  /** Of all gatherers together and of discovery. */
  record Descriptors(long gatherers, long discovery) {}
}
