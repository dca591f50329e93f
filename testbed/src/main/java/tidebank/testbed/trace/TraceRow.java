package tidebank.testbed.trace;

import java.util.Comparator;

/**
 * One request of a trace in the normal form, whatever layout it came from.
 *
 * @param timeUs when it arrives, in microseconds from the trace's own start; never negative
 * @param tableType the table type it asks
 * @param depot the first shard it needs, from 0
 * @param parts how many shards in a row it needs, from 1
 * @param key what it is about; "" where the trace has no such thing
 * @param weight the share of the whole answer that the first part carries, above 0 and at most 1;
 *     the rest is spread evenly over the others
 * @param workUs the work of one part at a shard server, in microseconds
 * @param account who asks; "" for nobody in particular
 */
public record TraceRow(
    long timeUs,
    String tableType,
    int depot,
    int parts,
    String key,
    double weight,
    long workUs,
    String account) {
  /**
   * By time, then by everything else, so that the order of rows at the same instant does not depend
   * on the source's.
   */
  public static final Comparator<TraceRow> ORDER = TraceRow::order;

  private static int order(TraceRow a, TraceRow b) {
    // Nearly always the time decides; the rest is for rows at one instant.
    int order = Long.compare(a.timeUs, b.timeUs);
    order = order != 0 ? order : a.key.compareTo(b.key);
    order = order != 0 ? order : a.tableType.compareTo(b.tableType);
    order = order != 0 ? order : Integer.compare(a.depot, b.depot);
    order = order != 0 ? order : Integer.compare(a.parts, b.parts);
    order = order != 0 ? order : Long.compare(a.workUs, b.workUs);
    order = order != 0 ? order : a.account.compareTo(b.account);
    return order != 0 ? order : Double.compare(a.weight, b.weight);
  }

  public TraceRow at(long otherTimeUs) {
    return new TraceRow(otherTimeUs, tableType, depot, parts, key, weight, workUs, account);
  }

  /** The weight of the part at this place, 0 being the first. All parts' weights sum to 1. */
  public double weightOf(int place) {
    if (parts == 1) {
      return 1;
    }
    return place == 0 ? weight : (1 - weight) / (parts - 1);
  }
}
