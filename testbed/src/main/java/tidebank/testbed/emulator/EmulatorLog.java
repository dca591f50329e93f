package tidebank.testbed.emulator;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import tidebank.testbed.account.RuleAudit;

/** What the stand-ins saw, handed from their threads to the one that audits. */
public final class EmulatorLog {
  /** Something seen. */
  public sealed interface Entry permits Dispatched, Work, Told {}

  /** A part came whole to a server. */
  public record Dispatched(
      String scan, int shard, int gatherer, int server, long atUs, RuleAudit.Execution run)
      implements Entry {}

  /** Work came to a server of this warmth. */
  public record Work(int server, long atUs, double workUs, double capacityUsPerS, double warmth)
      implements Entry {}

  /** A line of the roster was written to a gatherer. */
  public record Told(int gatherer, int server, boolean mayHaveWork, long atUs) implements Entry {}

  private final Queue<Entry> entries = new ConcurrentLinkedQueue<>();

  public void add(Entry entry) {
    entries.add(entry);
  }

  /** Hands on all that was seen so far. */
  public void drainTo(RuleAudit audit) {
    for (Entry entry = entries.poll(); entry != null; entry = entries.poll()) {
      if (entry instanceof Dispatched seen) {
        audit.recordAttempt(seen.scan, seen.shard, seen.gatherer, seen.server, seen.atUs, seen.run);
      } else if (entry instanceof Work work) {
        audit.recordWork(work.server, work.atUs, work.workUs, work.capacityUsPerS, work.warmth);
      } else if (entry instanceof Told told) {
        audit.recordAnnouncement(told.gatherer, told.server, told.mayHaveWork, told.atUs);
      }
    }
  }
}
