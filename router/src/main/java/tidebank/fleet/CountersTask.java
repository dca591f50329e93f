package tidebank.fleet;

import java.io.IOException;
import java.util.SortedMap;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Writes a member's counters to the shared folder at a fixed interval; runs on every member.
 * Confined to the agent thread; the counters are read on the router's event loop.
 */
final class CountersTask {
  private final String member;
  private final String session;
  private final long intervalUs;
  private final AgentMailbox mailbox;
  private final Supplier<SortedMap<String, Long>> counters;
  private final Executor eventLoop;
  private long lastWriteAt;
  private long lastSequence;

  CountersTask(
      String member,
      String session,
      long intervalUs,
      AgentMailbox mailbox,
      Supplier<SortedMap<String, Long>> counters,
      Executor eventLoop) {
    this.member = member;
    this.session = session;
    this.intervalUs = intervalUs;
    this.mailbox = mailbox;
    this.counters = counters;
    this.eventLoop = eventLoop;
    lastWriteAt = LeaseClient.now() - intervalUs;
  }

  /** Requests counters if they are due, and writes them if they have been delivered. */
  void runIfDue(LazySharedFolder folder) throws IOException {
    if (LeaseClient.now() - lastWriteAt >= intervalUs && mailbox.requestCounters()) {
      eventLoop.execute(() -> mailbox.deliverCounters(counters.get()));
    }
    SortedMap<String, Long> delivered = mailbox.takeCounters();
    if (delivered != null) {
      lastWriteAt = LeaseClient.now();
      folder
          .open()
          .writeCounters(
              member, new FleetReport.MemberCounters(session, ++lastSequence, delivered));
    }
  }
}
