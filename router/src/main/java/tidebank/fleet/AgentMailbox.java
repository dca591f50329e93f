package tidebank.fleet;

import java.util.SortedMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * What a gatherer's event loop, its agent's thread and the one that waits for news hand each other;
 * neither ever waits for the other, so that a loop that stalls costs no lease. Requests and takes
 * are the agent's, answers the loop's. Its law: one request for counters is out at a time, each set
 * of counters is taken at most once, and was counted after the request that it answers; news are
 * taken at most once and never lost; once {@link #leave} has been called, {@link #leaving} is true
 * for all.
 */
public final class AgentMailbox {
  /** A request is out. The agent's alone. */
  private boolean out;

  private final AtomicReference<SortedMap<String, Long>> counted = new AtomicReference<>();
  private final AtomicBoolean news = new AtomicBoolean();
  private volatile boolean left;

  /**
   * The agent's: whether the loop is to be asked for counters now; if so, a request is out until
   * what it brought is taken.
   */
  public boolean ask() {
    boolean free = !out;
    out = true;
    return free;
  }

  /** The loop's answer. */
  public void tell(SortedMap<String, Long> counters) {
    counted.set(counters);
  }

  /** The agent's: what the loop told, once; null if it has not yet. */
  public SortedMap<String, Long> take() {
    SortedMap<String, Long> told = counted.getAndSet(null);
    if (told != null) {
      out = false;
    }
    return told;
  }

  /** Of whoever waits for news: there are some. */
  public void news() {
    news.set(true);
  }

  /** The agent's: whether there were news since this was last asked. */
  public boolean takeNews() {
    return news.getAndSet(false);
  }

  /** The gatherer's: it drains, and no duty is to be begun any more. */
  public void leave() {
    left = true;
  }

  public boolean leaving() {
    return left;
  }
}
