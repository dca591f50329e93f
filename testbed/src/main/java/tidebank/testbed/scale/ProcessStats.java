package tidebank.testbed.scale;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.OperatingSystemMXBean;

/** Readings of the heap and file descriptors of this process. */
final class ProcessStats {
  private static final int MAX_COLLECTIONS = 20;

  /** Number of consecutive collections without further reduction that end the loop. */
  private static final int STABLE_COLLECTIONS = 3;

  /** Bytes that the process itself allocates between two collections. */
  private static final long NOISE_BYTES = 4096;

  private ProcessStats() {}

  /**
   * Returns the heap in use, in bytes, after full collections that are repeated until they free
   * nothing more. One collection is not enough: an object with a finalizer, such as those in the
   * buffers of ended threads, keeps all objects that it references for a collection or two.
   */
  static long retainedHeapBytes() {
    long lowest = Long.MAX_VALUE;
    int stable = 0;
    for (int i = 0; i < MAX_COLLECTIONS && stable < STABLE_COLLECTIONS; i++) {
      System.gc();
      System.runFinalization();
      long used = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
      stable = used < lowest - NOISE_BYTES ? 0 : stable + 1;
      lowest = Math.min(lowest, used);
    }
    return lowest;
  }

  /** Returns the number of open file descriptors, or 0 if the system does not report it. */
  static long openDescriptors() {
    OperatingSystemMXBean system = ManagementFactory.getOperatingSystemMXBean();
    return system instanceof UnixOperatingSystemMXBean unix ? unix.getOpenFileDescriptorCount() : 0;
  }
}
