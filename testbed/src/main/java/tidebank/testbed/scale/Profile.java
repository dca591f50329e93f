package tidebank.testbed.scale;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import tidebank.config.MalformedInputException;
import tidebank.config.Toml;

/**
 * The profile of a scale run. One count varies while the other has a fixed value, so that the
 * slopes over the two counts can be told apart.
 *
 * @param seed random seed of the run
 * @param repeats number of measurements of each size
 * @param listChanges number of list changes in each measurement; even, because each server that
 *     drains returns to service with the next change
 * @param routerCounts router counts in ascending order, measured with {@code fixedServers}
 * @param fixedServers number of shard servers while the router count varies
 * @param serverCounts shard server counts in ascending order, measured with {@code fixedRouters}
 * @param fixedRouters number of routers while the shard server count varies
 */
public record Profile(
    long seed,
    int repeats,
    int listChanges,
    List<Integer> routerCounts,
    int fixedServers,
    List<Integer> serverCounts,
    int fixedRouters) {
  /** With fewer sizes, the points do not show whether growth is linear. */
  private static final int MIN_SIZES = 5;

  private static final int MAX_ROUTERS = 10_000;
  private static final int MAX_SERVERS = 100_000;
  private static final int MAX_REPEATS = 100;
  private static final int MAX_LIST_CHANGES = 10_000;

  /**
   * Reads a profile from a file.
   *
   * @throws MalformedInputException if the file cannot be read or has faults; the message names all
   *     of them
   */
  public static Profile read(Path path) throws MalformedInputException {
    return read(Toml.read(path));
  }

  static Profile read(Toml file) throws MalformedInputException {
    Toml.Table root = file.root();
    Toml.Table routers = root.table("gatherers");
    Toml.Table servers = root.table("shard_servers");
    int listChanges = (int) root.integer("list_changes", 20, 2, MAX_LIST_CHANGES);
    if (listChanges % 2 != 0) {
      root.addFault("list_changes", "found " + listChanges + ", wanted an even number");
    }
    Profile profile =
        new Profile(
            root.integer("seed", 1, 0, Long.MAX_VALUE),
            (int) root.integer("repeats", 3, 1, MAX_REPEATS),
            listChanges,
            readSizes(routers, MAX_ROUTERS),
            (int) routers.integer("beside_shard_servers", 200, 1, MAX_SERVERS),
            readSizes(servers, MAX_SERVERS),
            (int) servers.integer("beside_gatherers", 8, 1, MAX_ROUTERS));
    file.check();
    return profile;
  }

  private static List<Integer> readSizes(Toml.Table table, int max) {
    List<Integer> sizes = new ArrayList<>();
    int previous = 0;
    boolean ascending = true;
    for (double size : table.numbers("sizes")) {
      ascending &= size == Math.rint(size) && size > previous && size <= max;
      previous = (int) size;
      sizes.add(previous);
    }
    if (!ascending || sizes.size() < MIN_SIZES) {
      table.addFault(
          "sizes",
          "found "
              + sizes
              + ", wanted at least "
              + MIN_SIZES
              + " whole numbers from 1 to "
              + max
              + ", ascending");
    }
    return sizes;
  }

  /** Returns the size with both fixed counts. */
  public Size fixedSize() {
    return new Size(fixedRouters, fixedServers);
  }

  /** Returns all distinct sizes, in ascending order of their list entries. */
  public List<Size> sizes() {
    Set<Size> sizes = new LinkedHashSet<>();
    routerCounts.forEach(count -> sizes.add(new Size(count, fixedServers)));
    serverCounts.forEach(count -> sizes.add(new Size(fixedRouters, count)));
    return sizes.stream().sorted(Comparator.comparingDouble(Driver.LIST_ENTRIES::count)).toList();
  }
}
