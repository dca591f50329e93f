package tidebank.testbed.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import tidebank.testbed.replay.RouterProcess;

/**
 * Gatherers in processes of their own that know of no shard server, and so throttle and count what
 * they are sent.
 */
public final class RouterProcesses {
  private static final String FILE =
      "{'name':'%s','listen':'127.0.0.1:0','discovery':'127.0.0.1:1','seed':'8c1f30d27a5be964',"
          + "'settings':{'discovery':'ask','services':["
          + "{'name':'checkout','semantics':'read_like','onTimeMs':1000,'deadlineMs':3000}],"
          + "'specifics':{'slices':1,'positions':1,'width':1},'limits':{'maxAttempts':2}}}";

  private RouterProcesses() {}

  /**
   * Starts one.
   *
   * @param folder for its file, and for what all of them share
   * @param stewards whose duties it takes; with none it takes none
   * @param everyMs how often it tells its counters
   * @param jvm further flags of its process
   */
  public static RouterProcess start(
      Path folder, String name, List<String> stewards, long everyMs, List<String> jvm)
      throws IOException {
    return start(folder, name, stewards, everyMs, jvm, List.of(), line -> {});
  }

  /**
   * The same in another way.
   *
   * @param launcher a main class and its flags before the gatherer's own, or none
   * @param told hears each line of its output
   */
  public static RouterProcess start(
      Path folder,
      String name,
      List<String> stewards,
      long everyMs,
      List<String> jvm,
      List<String> launcher,
      Consumer<String> told)
      throws IOException {
    Path own =
        Files.writeString(
            folder.resolve(name + ".toml"),
            "[fleet]\nstewards = [\""
                + String.join("\", \"", stewards)
                + "\"]\nfolder = \""
                + shared(folder)
                + "\"\nevery_ms = "
                + everyMs
                + "\n");
    return RouterProcess.start(
        name,
        FILE.formatted(name).replace('\'', '"'),
        stewards.isEmpty() ? null : own,
        jvm,
        launcher,
        told);
  }

  /** The fleet's folder. */
  public static Path shared(Path folder) {
    return folder.resolve("shared");
  }
}
