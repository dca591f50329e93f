package tidebank.testbed.emulator;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import tidebank.testbed.account.RuleAudit;

/**
 * Events observed by the emulators, passed from their threads to the thread of the audit. Safe for
 * use by several threads.
 */
public final class EmulatorLog {
  /** An observed event. */
  public sealed interface Entry permits AttemptReceived, ColdServerWork, ServerAnnounced {}

  /**
   * An attempt of a shard request was received in full by a server.
   *
   * @param execution whether the server accepted the request for execution
   */
  public record AttemptReceived(
      String queryId, int shard, int router, int server, long atUs, RuleAudit.Execution execution)
      implements Entry {}

  /**
   * Work arrived at a server that was still warming up.
   *
   * @param workUs processing time of the request on a warm server
   * @param capacityUsPerS work that the warm server completes in a second
   * @param capacityShare share of that capacity that the server had, below 1
   */
  public record ColdServerWork(
      int server, long atUs, double workUs, double capacityUsPerS, double capacityShare)
      implements Entry {}

  /** A router was sent whether a server of the endpoint list is in service. */
  public record ServerAnnounced(int router, int server, boolean inService, long atUs)
      implements Entry {}

  private final Queue<Entry> entries = new ConcurrentLinkedQueue<>();

  /** Appends an event. */
  public void add(Entry entry) {
    entries.add(entry);
  }

  /** Passes all events so far to the audit and removes them. */
  public void drainTo(RuleAudit audit) {
    for (Entry entry = entries.poll(); entry != null; entry = entries.poll()) {
      if (entry instanceof AttemptReceived attempt) {
        audit.recordAttempt(
            attempt.queryId,
            attempt.shard,
            attempt.router,
            attempt.server,
            attempt.atUs,
            attempt.execution);
      } else if (entry instanceof ColdServerWork work) {
        audit.recordWork(
            work.server, work.atUs, work.workUs, work.capacityUsPerS, work.capacityShare);
      } else if (entry instanceof ServerAnnounced announced) {
        audit.recordAnnouncement(
            announced.router, announced.server, announced.inService, announced.atUs);
      }
    }
  }
}
