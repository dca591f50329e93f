package tidebank.fleet;

import java.util.SortedMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Passes messages between a router's event loop, its agent thread and the thread that waits for
 * assignments. None of them ever waits for another, so a stalled event loop cannot cost a lease.
 *
 * <p>At most one request for counters is pending. Each set of counters is taken at most once and
 * was counted after the request that it answers. An assignment notice is taken at most once and
 * never lost. Once {@link #requestLeave} has been called, {@link #leaveRequested} returns true on
 * every thread.
 */
public final class AgentMailbox {
  /** Whether a request for counters is pending; confined to the agent thread. */
  private boolean countersRequested;

  private final AtomicReference<SortedMap<String, Long>> counters = new AtomicReference<>();
  private final AtomicBoolean assignmentNotice = new AtomicBoolean();
  private volatile boolean leaveRequested;

  /**
   * Requests counters unless a request is pending; called by the agent thread.
   *
   * @return whether the caller must now ask the event loop for the counters
   */
  public boolean requestCounters() {
    boolean isNew = !countersRequested;
    countersRequested = true;
    return isNew;
  }

  /** Delivers the requested counters; called by the event loop. */
  public void deliverCounters(SortedMap<String, Long> delivered) {
    counters.set(delivered);
  }

  /**
   * Takes the delivered counters, which completes the request; called by the agent thread.
   *
   * @return the counters, or null if they have not been delivered yet
   */
  public SortedMap<String, Long> takeCounters() {
    SortedMap<String, Long> taken = counters.getAndSet(null);
    if (taken != null) {
      countersRequested = false;
    }
    return taken;
  }

  /**
   * Notifies the agent that there is a task to claim; called by the thread that waits for
   * assignments.
   */
  public void notifyAssignment() {
    assignmentNotice.set(true);
  }

  /** Returns whether a notice arrived since the last call; called by the agent thread. */
  public boolean takeAssignmentNotice() {
    return assignmentNotice.getAndSet(false);
  }

  /** Requests that the member leave because the router is draining; may be called by any thread. */
  public void requestLeave() {
    leaveRequested = true;
  }

  /** Returns whether the member must leave. */
  public boolean leaveRequested() {
    return leaveRequested;
  }
}
