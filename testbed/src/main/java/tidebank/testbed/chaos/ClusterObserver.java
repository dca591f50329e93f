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
import tidebank.lease.LeaseTable;

/**
 * Asks the stewards over and over what holds, past all relays, and writes it into the history. What
 * it saw last is for the script to wait for.
 */
final class ClusterObserver implements AutoCloseable {
  private static final long EVERY_MS = 25;
  private static final Duration ONE = Duration.ofMillis(400);

  /**
   * What it saw.
   *
   * @param state the last one that any steward told, or null
   * @param leader the steward that told it, or -1 where in the last round none did
   * @param round counts the rounds
   * @param scans counted in all published reports
   */
  record Sight(LeaseTable.State state, int leader, long round, long scans) {
    LeaseTable.TaskLease report() {
      return LeaseRules.duty(state, "report");
    }

    /** For people. */
    String said() {
      return (leader < 0 ? "no steward answers" : "s" + leader + " leads")
          + ", "
          + scans
          + " scans counted"
          + (state == null
              ? ""
              : state.members().stream()
                      .map(
                          member ->
                              ", "
                                  + member.name()
                                  + (member.expiresAt() > state.leaderClock()
                                      ? " alive"
                                      : " silent"))
                      .reduce("", String::concat)
                  + state.tasks().stream()
                      .map(
                          duty ->
                              ", "
                                  + duty.task()
                                  + " by "
                                  + duty.fencingToken()
                                  + " of "
                                  + duty.holder()
                                  + (duty.expiresAt() > state.leaderClock() ? "" : " which is over")
                                  + " meant for "
                                  + duty.assignedMember()
                                  + " at revision "
                                  + duty.revision())
                      .reduce("", String::concat));
    }
  }

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(ONE).build();
  private final List<String> addresses;
  private final History history;
  private final Reports reports;
  private final SharedFolderCheck stored;
  private final Thread thread;
  private volatile Sight sight = new Sight(null, -1, 0, 0);
  private volatile boolean closed;

  ClusterObserver(
      List<String> addresses, History history, Reports reports, SharedFolderCheck stored) {
    this.stored = stored;
    this.addresses = addresses;
    this.history = history;
    this.reports = reports;
    thread = new Thread(this::run, "observer");
    thread.setDaemon(true);
    thread.start();
  }

  Sight sight() {
    return sight;
  }

  private void run() {
    while (!closed) {
      try {
        look();
        Thread.sleep(EVERY_MS);
      } catch (InterruptedException ended) {
        return;
      }
    }
  }

  private void look() throws InterruptedException {
    int first = Math.max(0, sight.leader());
    for (int i = 0; i < addresses.size(); i++) {
      int steward = (first + i) % addresses.size();
      Set<String> gone = stored.gone();
      long call = history.now();
      LeaseTable.State state = ask(addresses.get(steward));
      if (state != null) {
        history.read("observer", call, state);
        LeaseTable.TaskLease duty = LeaseRules.duty(state, "report");
        if (duty != null) {
          reports.see(duty);
        }
        LeaseTable.TaskLease retention = LeaseRules.duty(state, "retention");
        if (retention != null) {
          stored.see(retention, gone);
        }
        sight = new Sight(state, steward, sight.round() + 1, reports.scans());
        return;
      }
    }
    sight = new Sight(sight.state(), -1, sight.round() + 1, sight.scans());
  }

  private LeaseTable.State ask(String address) throws InterruptedException {
    try {
      HttpResponse<byte[]> response =
          http.send(
              HttpRequest.newBuilder(URI.create("http://" + address + "/fleet/state"))
                  .timeout(ONE)
                  .build(),
              BodyHandlers.ofByteArray());
      return response.statusCode() == 200
          ? LeaseCodec.read(response.body(), LeaseTable.State.class)
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
      thread.join(TimeUnit.SECONDS.toMillis(5));
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
    }
  }
}
