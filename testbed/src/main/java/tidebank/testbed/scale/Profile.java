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
 * What a scale run measures. One count grows while the other stands still, so that the two slopes
 * separate.
 *
 * @param seed of all chance
 * @param repeats of each size
 * @param listChanges that every gatherer is told at each size; even, as each server that drains
 *     comes back
 * @param gathererSizes counts of gatherers, ascending, each beside {@code fixedServers}
 * @param serverSizes counts of shard servers, ascending, each beside {@code fixedGatherers}
 */
public record Profile(
    long seed,
    int repeats,
    int listChanges,
    List<Integer> gathererSizes,
    int fixedServers,
    List<Integer> serverSizes,
    int fixedGatherers) {
  /** Fewer points say too little of whether a line is straight. */
  private static final int SIZES_LEAST = 5;

  private static final int GATHERERS_MOST = 10_000;
  private static final int SERVERS_MOST = 100_000;
  private static final int REPEATS_MOST = 100;
  private static final int CHANGES_MOST = 10_000;

  public static Profile read(Path path) throws MalformedInputException {
    return read(Toml.read(path));
  }

  static Profile read(Toml file) throws MalformedInputException {
    Toml.Table root = file.root();
    Toml.Table gatherers = root.table("gatherers");
    Toml.Table servers = root.table("shard_servers");
    int changes = (int) root.integer("list_changes", 20, 2, CHANGES_MOST);
    if (changes % 2 != 0) {
      root.addFault("list_changes", "found " + changes + ", wanted an even number");
    }
    Profile profile =
        new Profile(
            root.integer("seed", 1, 0, Long.MAX_VALUE),
            (int) root.integer("repeats", 3, 1, REPEATS_MOST),
            changes,
            sizes(gatherers, GATHERERS_MOST),
            (int) gatherers.integer("beside_shard_servers", 200, 1, SERVERS_MOST),
            sizes(servers, SERVERS_MOST),
            (int) servers.integer("beside_gatherers", 8, 1, GATHERERS_MOST));
    file.check();
    return profile;
  }

  private static List<Integer> sizes(Toml.Table table, int most) {
    List<Integer> sizes = new ArrayList<>();
    int before = 0;
    boolean ascending = true;
    for (double size : table.numbers("sizes")) {
      ascending &= size == Math.rint(size) && size > before && size <= most;
      before = (int) size;
      sizes.add(before);
    }
    if (!ascending || sizes.size() < SIZES_LEAST) {
      table.addFault(
          "sizes",
          "found "
              + sizes
              + ", wanted at least "
              + SIZES_LEAST
              + " whole numbers from 1 to "
              + most
              + ", ascending");
    }
    return sizes;
  }

  /** The size that both ladders hang on. */
  public Size fixed() {
    return new Size(fixedGatherers, fixedServers);
  }

  /** All sizes, each once, smallest first. */
  public List<Size> sizes() {
    Set<Size> sizes = new LinkedHashSet<>();
    gathererSizes.forEach(count -> sizes.add(new Size(count, fixedServers)));
    serverSizes.forEach(count -> sizes.add(new Size(fixedGatherers, count)));
    return sizes.stream().sorted(Comparator.comparingDouble(Driver.LIST_ENTRIES::count)).toList();
  }
}
