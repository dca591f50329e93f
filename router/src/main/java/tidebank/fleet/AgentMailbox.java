package tidebank.fleet;

import java.util.SortedMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Messages between a router's event loop, its agent's thread and the thread that waits for
 * assignments. None of them ever waits for another, so that a stalled event loop costs no lease.
 *
 * <p>One request for counters is pending at a time; each set of counters is taken at most once, and
 * was counted after the request that it answers. An assignment notice is taken at most once and
 * never lost. Once {@link #requestLeave} has been called, {@link #leaveRequested} is true for all.
 */
public final class AgentMailbox {
  /** Owned by the agent's thread. */
  private boolean countersRequested;

  private final AtomicReference<SortedMap<String, Long>> counters = new AtomicReference<>();
  private final AtomicBoolean assignmentNotice = new AtomicBoolean();
  private volatile boolean leaveRequested;

  /**
   * Requests counters, unless a request is pending; called by the agent's thread.
   *
   * @return whether the event loop is to be asked now
   */
  public boolean requestCounters() {
    boolean isNew = !countersRequested;
    countersRequested = true;
    return isNew;
  }

  /** Delivers the requested counters; called by the event loop. */
  public void deliverCounters(SortedMap<String, Long> counted) {
    counters.set(counted);
  }

  /**
   * Takes the delivered counters, which ends the request; called by the agent's thread.
   *
   * @return the counters, or null if they were not delivered yet
   */
  public SortedMap<String, Long> takeCounters() {
    SortedMap<String, Long> taken = counters.getAndSet(null);
    if (taken != null) {
      countersRequested = false;
    }
    return taken;
  }

  /** Says that there is a task to claim; called by the thread that waits for assignments. */
  public void notifyAssignment() {
    assignmentNotice.set(true);
  }

  /** Returns whether there was a notice since the last call; called by the agent's thread. */
  public boolean takeAssignmentNotice() {
    return assignmentNotice.getAndSet(false);
  }

  /** Requests that the member leaves, as the router is draining; may be called by any thread. */
  public void requestLeave() {
    leaveRequested = true;
  }

  /** Returns whether the member is to leave. */
  public boolean leaveRequested() {
    return leaveRequested;
  }
}
