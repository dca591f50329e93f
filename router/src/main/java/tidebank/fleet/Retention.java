package tidebank.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * What is stored too long, or beyond a budget. A removal has two steps: its list is published by
 * the duty's token, and only what a published list names is removed, by its owner or, if that died
 * in between, by the next one before it makes a list of its own. Names never come back, so that
 * whoever wakes late with a published list removes what was to go anyway, and one whose list was
 * refused removes nothing.
 */
public record Retention(long number, String previous, long fencingToken, List<String> names) {
  /** Before the first list. */
  public static final Retention NONE = new Retention(0, "", 0, List.of());

  /**
   * How long and how much is kept.
   *
   * @param ageUs that a file may have, in microseconds
   * @param bytes that all files may have together
   */
  public record Bounds(long ageUs, long bytes) {}

  /** What is stored: all bytes there are, and the oldest files, as many as were asked for. */
  public record Stock(long bytes, List<Item> oldest) {}

  /**
   * A stored file: its name in the fleet's folder, its size, how long ago it was last written, and
   * whether it is still needed.
   */
  public record Item(String name, long bytes, long ageUs, boolean needed) {}

  /**
   * The list after this one.
   *
   * @param published the name that this one was published under
   * @param by the token of its maker
   * @param most names of one list; what is left over stands in the next
   */
  public Retention next(String published, long by, Stock stock, Bounds bounds, int most) {
    List<Item> may =
        new ArrayList<>(stock.oldest().stream().filter(item -> !item.needed()).toList());
    may.sort(Comparator.comparingLong(Item::ageUs).reversed().thenComparing(Item::name));
    long bytes = stock.bytes();
    List<String> over = new ArrayList<>();
    for (Item item : may) {
      if (over.size() < most && (item.ageUs() > bounds.ageUs() || bytes > bounds.bytes())) {
        over.add(item.name());
        bytes -= item.bytes();
      }
    }
    return new Retention(number + 1, published, by, over);
  }

  /** The names of folders of the fleet's folder whose files are kept so long and no longer. */
  public static final Set<String> FOLDERS = Set.of("captures", "reports");
}
