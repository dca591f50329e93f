package tidebank.frontend;

import io.netty.channel.EventLoop;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import tidebank.runtime.Clock;
import tidebank.runtime.PolicyExecutor;

/**
 * Lets connections whose input exceeds the {@link ParseQuota} continue in later event loop passes,
 * in turn. Confined to the event loop.
 */
final class ClientInputScheduler {
  private final PolicyExecutor executor;
  private final Clock clock;
  private final ParseQuota quota = new ParseQuota();
  private final Set<ClientInputHandler> waiting = new LinkedHashSet<>();
  private boolean scheduled;

  ClientInputScheduler(PolicyExecutor executor, Clock clock) {
    this.executor = executor;
    this.clock = clock;
  }

  /** Returns whether another message of a connection may be parsed in this pass. */
  boolean allows(ParseQuota.Usage usage, boolean hasPendingRequests) {
    return quota.allows(usage, hasPendingRequests, executor.passNumber(), clock.now());
  }

  /** Records that a message of a connection was parsed. */
  void recordMessage(ParseQuota.Usage usage) {
    quota.recordMessage(usage);
  }

  /** Records that a connection whose input is dropped is read from. */
  void recordDroppedRead() {
    quota.recordDroppedRead();
  }

  /** Resumes this input when it is its turn, in a later pass. */
  void resumeLater(ClientInputHandler input, EventLoop loop) {
    waiting.add(input);
    if (!scheduled) {
      scheduled = true;
      // A scheduled task runs after the next poll of the sockets; a queued one would precede it.
      loop.schedule(() -> resumeWaiting(loop), 1, TimeUnit.NANOSECONDS);
    }
  }

  /** Removes the input of a connection that has been closed. */
  void remove(ClientInputHandler input) {
    waiting.remove(input);
  }

  private void resumeWaiting(EventLoop loop) {
    scheduled = false;
    int count = waiting.size();
    for (int i = 0; i < count && !waiting.isEmpty(); i++) {
      if (quota.isSharedQuotaUsed(executor.passNumber(), clock.now())) {
        break;
      }
      Iterator<ClientInputHandler> first = waiting.iterator();
      ClientInputHandler next = first.next();
      first.remove();
      next.resume();
    }
    if (!waiting.isEmpty()) {
      resumeLater(waiting.iterator().next(), loop);
    }
  }
}
