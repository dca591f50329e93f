package tidebank.testbed.scale;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** The figures of the machine that a run was made on. */
public record Machine(
    int processors,
    long memoryBytes,
    long heapBytes,
    String system,
    String architecture,
    String java) {
  static Machine here() {
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
