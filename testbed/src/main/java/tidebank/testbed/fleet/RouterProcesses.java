package tidebank.testbed.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import tidebank.testbed.replay.RouterProcess;

/**
 * Starts routers in separate processes. The routers know no shard server, so they reject every
 * query and count it.
 */
public final class RouterProcesses {
  private static final String CONFIG =
      "{'name':'%s','listen':'127.0.0.1:0','discovery':'127.0.0.1:1','seed':'8c1f30d27a5be964',"
          + "'settings':{'discovery':'ask','services':["
          + "{'name':'checkout','semantics':'read_like','onTimeMs':1000,'deadlineMs':3000}],"
          + "'specifics':{'slices':1,'positions':1,'width':1},'limits':{'maxAttempts':2}}}";

  private RouterProcesses() {}

  /**
   * Starts a router.
   *
   * @param folder directory for its configuration file and for the shared folder
   * @param coordinators addresses of the fleet's coordinators; empty for a router without a fleet
   * @param intervalMs interval at which it writes its counters, in milliseconds
   * @param jvmFlags further JVM flags
   */
  public static RouterProcess start(
      Path folder, String name, List<String> coordinators, long intervalMs, List<String> jvmFlags)
      throws IOException {
    return start(folder, name, coordinators, intervalMs, jvmFlags, List.of(), line -> {});
  }

  /**
   * Starts a router through a launcher.
   *
   * @param folder directory for its configuration file and for the shared folder
   * @param coordinators addresses of the fleet's coordinators; empty for a router without a fleet
   * @param intervalMs interval at which it writes its counters, in milliseconds
   * @param jvmFlags further JVM flags
   * @param launcher main class and flags to insert before the router's main class, or empty
   * @param output receives each line of the process's output
   */
  public static RouterProcess start(
      Path folder,
      String name,
      List<String> coordinators,
      long intervalMs,
      List<String> jvmFlags,
      List<String> launcher,
      Consumer<String> output)
      throws IOException {
    Path operatorFile =
        Files.writeString(
            folder.resolve(name + ".toml"),
            "[fleet]\nstewards = [\""
                + String.join("\", \"", coordinators)
                + "\"]\nfolder = \""
                + sharedFolder(folder)
                + "\"\nevery_ms = "
                + intervalMs
                + "\n");
    return RouterProcess.start(
        name,
        CONFIG.formatted(name).replace('\'', '"'),
        coordinators.isEmpty() ? null : operatorFile,
        jvmFlags,
        launcher,
        output);
  }

  /** Returns the folder shared by all routers of a fleet. */
  public static Path sharedFolder(Path folder) {
    return folder.resolve("shared");
  }
}
