package tidebank.fleet;

import java.io.IOException;
import java.util.SortedMap;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Writes a member's counters to the shared folder once an interval; done by every member. Owned by
 * the agent's thread; the counters are read on the router's event loop.
 */
final class CountersTask {
  private final String member;
  private final String session;
  private final long intervalUs;
  private final AgentMailbox mailbox;
  private final Supplier<SortedMap<String, Long>> counters;
  private final Executor eventLoop;
  private long writtenAt;
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
    writtenAt = LeaseClient.now() - intervalUs;
  }

  /** Requests counters if they are due, and writes those that were delivered. */
  void runIfDue(LazySharedFolder folder) throws IOException {
    if (LeaseClient.now() - writtenAt >= intervalUs && mailbox.requestCounters()) {
      eventLoop.execute(() -> mailbox.deliverCounters(counters.get()));
    }
    SortedMap<String, Long> delivered = mailbox.takeCounters();
    if (delivered != null) {
      writtenAt = LeaseClient.now();
      folder
          .open()
          .writeCounters(
              member, new FleetReport.MemberCounters(session, ++lastSequence, delivered));
    }
  }
}
