package tidebank.testbed.chaos;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.LeaseTableState;
import tidebank.lease.Member;
import tidebank.lease.TaskLease;

/**
 * Polls the coordinators' state directly, without the fault proxies, records it in the history and
 * checks each publication. Runs on its own thread; any thread may read the last observation.
 */
final class ClusterObserver implements AutoCloseable {
  private static final long POLL_MS = 25;
  private static final long CLOSE_TIMEOUT_S = 5;
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);
  private static final int HTTP_OK = 200;
  private static final int NO_LEADER = -1;

  /**
   * The result of a polling round.
   *
   * @param state last state that was read, in this round or an earlier one; null if none was
   * @param leader number of the coordinator that answered, or -1 if none did in this round
   * @param round number of the polling round
   * @param queriesCounted number of queries counted in all published reports
   */
  record Observation(LeaseTableState state, int leader, long round, long queriesCounted) {
    /** Returns the lease of the report task, or null if no state has it. */
    TaskLease reportLease() {
      return LeaseRules.findTask(state, "report");
    }

    /** Returns a one-line description for error messages. */
    String describe() {
      StringBuilder text = new StringBuilder();
      text.append(leader < 0 ? "no coordinator answers" : "s" + leader + " leads")
          .append("; ")
          .append(queriesCounted)
          .append(" queries counted");
      if (state != null) {
        state.members().forEach(member -> text.append("; ").append(describe(member)));
        state.tasks().forEach(lease -> text.append("; ").append(describe(lease)));
      }
      return text.toString();
    }

    private String describe(Member member) {
      return member.name() + (member.expiresAt() > state.leaderClock() ? " alive" : " silent");
    }

    private String describe(TaskLease lease) {
      return lease.task()
          + ": fencing token "
          + lease.fencingToken()
          + ", holder "
          + lease.holder()
          + (lease.expiresAt() > state.leaderClock() ? "" : " (lease expired)")
          + ", assigned to "
          + lease.assignedMember()
          + ", revision "
          + lease.revision();
    }
  }

  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CALL_TIMEOUT)
          .build();
  private final List<String> coordinators;
  private final History history;
  private final PublishedReports reports;
  private final SharedFolderCheck sharedFolder;
  private final Thread thread;
  private volatile Observation observation = new Observation(null, NO_LEADER, 0, 0);
  private volatile boolean closed;

  /**
   * Starts the observer's thread.
   *
   * @param coordinators the coordinators' own addresses; the index is the coordinator's number
   */
  ClusterObserver(
      List<String> coordinators,
      History history,
      PublishedReports reports,
      SharedFolderCheck sharedFolder) {
    this.coordinators = coordinators;
    this.history = history;
    this.reports = reports;
    this.sharedFolder = sharedFolder;
    thread = new Thread(this::pollUntilClosed, "observer");
    thread.setDaemon(true);
    thread.start();
  }

  Observation observation() {
    return observation;
  }

  private void pollUntilClosed() {
    while (!closed) {
      try {
        poll();
        Thread.sleep(POLL_MS);
      } catch (InterruptedException ended) {
        return;
      }
    }
  }

  /** Reads the state from the first coordinator that answers, starting with the last leader. */
  private void poll() throws InterruptedException {
    int first = Math.max(0, observation.leader());
    for (int i = 0; i < coordinators.size(); i++) {
      int coordinator = (first + i) % coordinators.size();
      Set<String> removed = sharedFolder.findRemovedFiles();
      long calledAt = history.now();
      LeaseTableState state = readState(coordinators.get(coordinator));
      if (state != null) {
        history.recordRead("observer", calledAt, state);
        checkPublications(state, removed);
        observation =
            new Observation(state, coordinator, observation.round() + 1, reports.queriesCounted());
        return;
      }
    }
    observation =
        new Observation(
            observation.state(), NO_LEADER, observation.round() + 1, observation.queriesCounted());
  }

  private void checkPublications(LeaseTableState state, Set<String> removed) {
    TaskLease report = LeaseRules.findTask(state, "report");
    if (report != null) {
      reports.check(report);
    }
    TaskLease retention = LeaseRules.findTask(state, "retention");
    if (retention != null) {
      sharedFolder.checkRemovals(retention, removed);
    }
  }

  /** Returns a coordinator's state, or null if it does not answer or is not the leader. */
  private LeaseTableState readState(String address) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/fleet/state"))
            .timeout(CALL_TIMEOUT)
            .build();
    try {
      HttpResponse<byte[]> response = http.send(request, BodyHandlers.ofByteArray());
      return response.statusCode() == HTTP_OK
          ? LeaseCodec.read(response.body(), LeaseTableState.class)
          : null;
    } catch (IOException noAnswer) {
      return null;
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    try {
      thread.join(TimeUnit.SECONDS.toMillis(CLOSE_TIMEOUT_S));
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
    }
  }
}
