package tidebank.testbed.scale;

import java.util.List;

/**
 * The raw results of one measurement, from which the quantities are computed.
 *
 * @param listChanges number of changes of the endpoint list
 * @param firstLists exchanges that sent each router its first snapshot
 * @param changes exchanges that sent deltas
 * @param idle exchanges that ended with an empty response, one for each router
 * @param firstListCpu processor time until all routers had their first snapshot
 * @param changesCpu processor time of all changes
 * @param heapBytes heap that all routers together retain
 * @param descriptors open file descriptors of the routers and of discovery
 */
record RawMeasurement(
    Size size,
    int listChanges,
    List<Exchange> firstLists,
    List<Exchange> changes,
    List<Exchange> idle,
    ProcessorTime firstListCpu,
    ProcessorTime changesCpu,
    long heapBytes,
    Descriptors descriptors) {
  /** Processor time of the routers' event loop and of discovery's, in microseconds. */
  record ProcessorTime(double routersUs, double discoveryUs) {
    /** Returns the processor time used since an earlier reading. */
    ProcessorTime minus(ProcessorTime earlier) {
      return new ProcessorTime(routersUs - earlier.routersUs, discoveryUs - earlier.discoveryUs);
    }
  }

  /** Open file descriptors of all routers together and of discovery. */
  record Descriptors(long routers, long discovery) {}
}
