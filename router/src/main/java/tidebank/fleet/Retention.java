package tidebank.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * A list of stored files to remove, as they are too old or beyond a budget. A removal has two
 * steps: the list is published with the task's fencing token, and only what a published list names
 * is removed, by its maker or, if that died in between, by the next holder before it makes a list
 * of its own. Names never come back, so that whoever wakes late with a published list removes what
 * was to go anyway, and one whose list was refused removes nothing.
 *
 * @param number 1 for the first
 * @param previous the name under which the list before was published; empty in the first
 * @param fencingToken the fencing token that its maker held the task's lease with
 * @param names the files' names in the shared folder
 */
public record Retention(long number, String previous, long fencingToken, List<String> names) {
  /** The list before the first. */
  public static final Retention NONE = new Retention(0, "", 0, List.of());

  /** The folders in the shared folder whose files are under retention. */
  public static final Set<String> FOLDERS = Set.of("captures", "reports");

  /**
   * How long and how much is stored.
   *
   * @param ageUs the greatest age of a file, in microseconds
   * @param bytes the greatest size of all files together
   */
  public record Bounds(long ageUs, long bytes) {}

  /**
   * What is stored.
   *
   * @param bytes the size of all files together
   * @param oldest the oldest files, as many as were asked for
   */
  public record Stock(long bytes, List<Item> oldest) {}

  /**
   * A stored file.
   *
   * @param name its name in the shared folder
   * @param bytes its size
   * @param ageUs how long ago it was last written, in microseconds
   * @param needed whether it must not be removed
   */
  public record Item(String name, long bytes, long ageUs, boolean needed) {}

  /**
   * Returns the list after this one.
   *
   * @param published the name that this one was published under
   * @param nextFencingToken the fencing token of the next one's maker
   * @param maxNames the most names of one list; what is left over comes into the next
   */
  public Retention next(
      String published, long nextFencingToken, Stock stock, Bounds bounds, int maxNames) {
    List<Item> removable =
        new ArrayList<>(stock.oldest().stream().filter(item -> !item.needed()).toList());
    removable.sort(Comparator.comparingLong(Item::ageUs).reversed().thenComparing(Item::name));
    long bytesLeft = stock.bytes();
    List<String> removed = new ArrayList<>();
    for (Item item : removable) {
      boolean tooOld = item.ageUs() > bounds.ageUs();
      boolean overBudget = bytesLeft > bounds.bytes();
      if (removed.size() < maxNames && (tooOld || overBudget)) {
        removed.add(item.name());
        bytesLeft -= item.bytes();
      }
    }
    return new Retention(number + 1, published, nextFencingToken, removed);
  }
}
