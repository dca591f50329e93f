package tidebank.testbed.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import tidebank.testbed.replay.RouterProcess;

/**
 * Routers in processes of their own that know of no shard server, and so reject and count the
 * queries they are sent.
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
   * @param folder for its file, and for the folder that all of them share
   * @param coordinators whose fleet it is a member of; none for a router without a fleet
   * @param intervalMs how often it writes its counters, in milliseconds
   * @param jvmFlags further flags of its process
   */
  public static RouterProcess start(
      Path folder, String name, List<String> coordinators, long intervalMs, List<String> jvmFlags)
      throws IOException {
    return start(folder, name, coordinators, intervalMs, jvmFlags, List.of(), line -> {});
  }

  /**
   * Starts a router by a launcher.
   *
   * @param folder for its file, and for the folder that all of them share
   * @param coordinators whose fleet it is a member of; none for a router without a fleet
   * @param intervalMs how often it writes its counters, in milliseconds
   * @param jvmFlags further flags of its process
   * @param launcher a main class and its flags before the router's own, or none
   * @param output receives each line of its output
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

  /** Returns the folder that all routers of a fleet share. */
  public static Path sharedFolder(Path folder) {
    return folder.resolve("shared");
  }
}
