package tidebank.testbed.scale;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.OperatingSystemMXBean;

/** Figures of this process. */
final class ProcessFigures {
  private static final int COLLECTIONS_MOST = 20;

  /** So many collections in a row have to free nothing more. */
  private static final int STEADY = 3;

  /** What the process itself takes between two collections. */
  private static final long NOISE_BYTES = 4096;

  private ProcessFigures() {}

  /**
   * Bytes of the heap in use after full collections, until they free nothing more: what has a
   * finalizer holds on to all that it refers to for a collection or two, and buffers of threads
   * that ended have some.
   */
  static long retainedHeapBytes() {
    long least = Long.MAX_VALUE;
    int steady = 0;
    for (int i = 0; i < COLLECTIONS_MOST && steady < STEADY; i++) {
      System.gc();
      System.runFinalization();
      long used = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
      steady = used < least - NOISE_BYTES ? 0 : steady + 1;
      least = Math.min(least, used);
    }
    return least;
  }

  /** Descriptors that are open; 0 where the system does not tell. */
  static long descriptors() {
    OperatingSystemMXBean system = ManagementFactory.getOperatingSystemMXBean();
    return system instanceof UnixOperatingSystemMXBean unix ? unix.getOpenFileDescriptorCount() : 0;
  }
}
