package tidebank.testbed.scale;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/**
 * The machine and Java virtual machine of a run.
 *
 * @param processors number of available processors
 * @param memoryBytes total memory of the machine
 * @param heapBytes maximum heap size of the process
 * @param system name of the operating system
 * @param architecture architecture of the operating system
 * @param java version of the Java virtual machine
 */
public record Machine(
    int processors,
    long memoryBytes,
    long heapBytes,
    String system,
    String architecture,
    String java) {
  /** Returns the figures of this machine and process. */
  static Machine current() {
    OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
    return new Machine(
        system.getAvailableProcessors(),
        system.getTotalMemorySize(),
        Runtime.getRuntime().maxMemory(),
        system.getName(),
        system.getArch(),
        System.getProperty("java.vm.version"));
  }
}
