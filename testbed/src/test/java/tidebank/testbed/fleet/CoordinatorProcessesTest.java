package tidebank.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static tidebank.testbed.fleet.Polling.TIMEOUT_MS;
import static tidebank.testbed.fleet.Polling.pollUntil;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tidebank.coordinator.CoordinatorClient;
import tidebank.errors.CoordinatorException;
import tidebank.errors.StorageException;
import tidebank.errors.TidebankException;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.lease.LeaseHolder;
import tidebank.lease.TaskLease;

/**
 * Tests of coordinators in separate processes, which are killed, suspended and restarted on empty,
 * damaged or full data directories.
 */
@Timeout(120)
class CoordinatorProcessesTest {
  private static final String SETTINGS =
      "[duties]\nnames = [\"report\", \"probe/a\"]\n[lease]\nms = 1500\n"
          + "[election]\nms = 200\n[snapshot]\nevery = 20\n";

  @TempDir private Path folder;

  /** A member without threads or timers, which sends commands only when the test calls it. */
  private static final class Member {
    private final LeaseHolder holder;
    private final CoordinatorClient client;

    Member(String name, String session, CoordinatorClient client) {
      holder = new LeaseHolder(name, session);
      this.client = client;
    }

    static long nowUs() {
      return System.nanoTime() / 1000;
    }

    /** Sends the next command, if there is one, and handles its result. */
    CommandResult step() throws IOException {
      LeaseCommand command = holder.nextCommand(nowUs());
      if (command == null) {
        return null;
      }
      CommandResult result = client.sendCommand(command);
      holder.handleResult(command.sequence(), result, nowUs());
      return result;
    }

    /** Sends commands until it holds the task's lease; returns the fencing token. */
    long acquire(String task) throws Exception {
      return pollUntil(
          () -> {
            step();
            return holder.tokenIfHeld(task, nowUs(), 0);
          },
          token -> token > 0);
    }
  }

  private static CoordinatorClient client(CoordinatorProcesses coordinators) {
    return new CoordinatorClient(coordinators.addresses(), TIMEOUT_MS);
  }

  private static TaskLease lease(CoordinatorClient client, String task) throws IOException {
    return client.state().tasks().stream()
        .filter(lease -> lease.task().equals(task))
        .findFirst()
        .orElseThrow();
  }

  /** Waits for a leader and returns its index; only the leader serves the state. */
  private static int awaitLeader(CoordinatorProcesses coordinators) throws Exception {
    return pollUntil(
        () -> {
          for (int i = 0; i < coordinators.count(); i++) {
            try {
              HttpResponse<String> response =
                  send(coordinators.addresses().get(i), "GET", "/fleet/state", "");
              if (response.statusCode() == 200) {
                return i;
              }
            } catch (IOException unreachable) {
              // Not running or suspended.
            }
          }
          return -1;
        },
        index -> index >= 0);
  }

  private static HttpResponse<String> send(String address, String method, String path, String body)
      throws Exception {
    return HttpClient.newHttpClient()
        .send(
            HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofSeconds(8))
                .method(method, BodyPublishers.ofString(body))
                .build(),
            BodyHandlers.ofString());
  }

  /**
   * Guards against a coordinator that forgets state or executes a retried command twice after a
   * kill, and against wrong error codes in responses.
   */
  @Test
  void singleCoordinatorKeepsStateAfterKillAndReportsErrorCodes() throws Exception {
    try (CoordinatorProcesses coordinators = new CoordinatorProcesses(folder, 1, SETTINGS)) {
      CoordinatorClient client = client(coordinators);
      Member member = new Member("g0", "first", client);
      long token = member.acquire("report");
      LeaseCommand publish =
          member.holder.createPublishCommand("report", 0, "fleet-1." + token, Member.nowUs());
      CommandResult first = client.sendCommand(publish);
      assertThat(first.revision()).isEqualTo(1);
      coordinators.process(0).kill();
      coordinators.process(0).waitFor(5000);
      coordinators.start(0);
      // A retry, as after a lost response, has no further effect and gets the first result.
      assertThat(client.sendCommand(publish)).isEqualTo(first);
      assertThat(lease(client, "report").value()).isEqualTo("fleet-1." + token);
      assertThat(lease(client, "report").revision()).isEqualTo(1);
      long nextToken = new Member("g1", "other", client).acquire("report");
      assertThat(nextToken).isGreaterThan(token);

      String address = coordinators.addresses().get(0);
      String[][] requests = {
        {"POST", "/fleet/command", "{", "400", "TB-1104"},
        {"POST", "/fleet/command", "{\"kind\":\"JOIN\"}", "400", "TB-1104"},
        {"POST", "/fleet/command", "{\"kind\":\"JOIN\",\"odd\":1}", "400", "TB-1104"},
        {
          "POST",
          "/fleet/command",
          "{\"kind\":\"CLAIM\",\"session\":\"x\",\"number\":1,\"name\":\"g9\",\"duty\":\"report\"}",
          "200",
          "TB-1007"
        },
        {
          "POST",
          "/fleet/command",
          "{\"kind\":\"MOVE\",\"session\":\"y\",\"number\":1,\"duty\":\"nothing\"}",
          "200",
          "TB-1001"
        },
        {
          "POST",
          "/fleet/command",
          "{\"kind\":\"DRAIN\",\"session\":\"z\",\"number\":1,\"name\":\"nobody\"}",
          "200",
          "TB-1015"
        },
        {
          "POST",
          "/fleet/command",
          "{\"kind\":\"JOIN\",\"session\":\"w\",\"number\":1,\"name\":\"g1\"}",
          "200",
          "TB-1006"
        },
        {
          "POST",
          "/fleet/command",
          "{\"kind\":\"JOIN\",\"session\":\"v\",\"number\":1,\"name\":\""
              + "g".repeat(1025)
              + "\"}",
          "200",
          "TB-1012"
        },
        {"GET", "/fleet", "", "404", "TB-1105"},
        {"DELETE", "/fleet/state", "", "404", "TB-1105"}
      };
      for (String[] request : requests) {
        HttpResponse<String> response = send(address, request[0], request[1], request[2]);
        JsonNode error = new ObjectMapper().readTree(response.body()).path("fault");
        assertThat(response.statusCode() + " " + error.path("code").asText())
            .as(request[2])
            .isEqualTo(request[3] + " " + request[4]);
        assertThat(error.path("advice").asText()).isNotBlank();
      }
      assertThat(send(address, "POST", "/fleet/command", "x".repeat(70_000)).statusCode())
          .isEqualTo(413);
    }
  }

  /**
   * Guards against lost leases after the leader was killed, and against state being served without
   * a quorum after a second coordinator was killed.
   */
  @Test
  void killedLeaderIsReplacedAndNothingIsServedWithoutQuorum() throws Exception {
    try (CoordinatorProcesses coordinators = new CoordinatorProcesses(folder, 3, SETTINGS)) {
      CoordinatorClient client = client(coordinators);
      Member holderMember = new Member("g0", "first", client);
      long token = holderMember.acquire("report");
      int leader = awaitLeader(coordinators);
      coordinators.process(leader).kill();
      // The next leader accepts its renewals; until then the holder stops by itself if its lease
      // expires.
      assertThat(holderMember.acquire("report")).isGreaterThanOrEqualTo(token);
      assertThat(awaitLeader(coordinators)).isNotEqualTo(leader);
      // With a second coordinator down there is no quorum, so nothing is served.
      int secondLeader = awaitLeader(coordinators);
      coordinators.process(secondLeader).kill();
      int remaining = 3 - leader - secondLeader;
      HttpResponse<String> response =
          pollUntil(
              () -> send(coordinators.addresses().get(remaining), "GET", "/fleet/state", ""),
              candidate -> candidate.statusCode() != 200);
      assertThat(response.body()).containsAnyOf("TB-1101", "TB-1102");
      coordinators.start(leader);
      assertThat(holderMember.acquire("report")).isGreaterThanOrEqualTo(token);
    }
  }

  /**
   * Guards against a second leader: a leader that was suspended until another took over must not
   * accept a publication under an expired lease after it is resumed.
   */
  @Test
  void resumedFormerLeaderAcceptsNoStalePublication() throws Exception {
    try (CoordinatorProcesses coordinators = new CoordinatorProcesses(folder, 3, SETTINGS)) {
      CoordinatorClient client = client(coordinators);
      Member holderMember = new Member("g0", "first", client);
      long token = holderMember.acquire("report");
      int formerLeader = awaitLeader(coordinators);
      coordinators.process(formerLeader).suspend();
      Member next =
          new Member(
              "g1",
              "second",
              new CoordinatorClient(
                  coordinators.addresses().stream()
                      .filter(
                          address -> !address.equals(coordinators.addresses().get(formerLeader)))
                      .toList(),
                  TIMEOUT_MS));
      long nextToken = next.acquire("report");
      assertThat(nextToken).isGreaterThan(token);
      // The first holder knows from its own clock that its lease has expired.
      assertThat(holderMember.holder.tokenIfHeld("report", Member.nowUs(), 0)).isZero();
      coordinators.process(formerLeader).resume();
      // The resumed coordinator rejects the publication, whether or not it believes that it leads.
      LeaseCommand stalePublish =
          new LeaseCommand(Kind.PUBLISH, "first", 99, "g0", "report", token, 0, "too late", null);
      HttpResponse<String> response =
          pollUntil(
              () ->
                  send(
                      coordinators.addresses().get(formerLeader),
                      "POST",
                      "/fleet/command",
                      new String(LeaseCodec.write(stalePublish), StandardCharsets.UTF_8)),
              candidate -> candidate.statusCode() != 503);
      assertThat(response.body()).containsAnyOf("TB-1101", "TB-1004");
      assertThat(
              client
                  .sendCommand(
                      new LeaseCommand(
                          Kind.PUBLISH, "first", 100, "g0", "report", token, 0, "too late", null))
                  .error()
                  .code())
          .isEqualTo("TB-1004");
      assertThat(lease(client, "report").revision()).isZero();
      assertThat(lease(client, "report").fencingToken()).isEqualTo(nextToken);
    }
  }

  /**
   * Guards against a coordinator that starts on a damaged snapshot, and against the documented
   * recovery failing: started on an empty directory, it must catch up and count for the quorum.
   */
  @Test
  void corruptSnapshotEndsCoordinatorAndEmptyOneCatchesUp() throws Exception {
    try (CoordinatorProcesses coordinators = new CoordinatorProcesses(folder, 3, SETTINGS)) {
      CoordinatorClient client = client(coordinators);
      Member holderMember = new Member("g0", "first", client);
      long token = holderMember.acquire("report");
      for (int i = 0; i < 60; i++) {
        client.sendOperatorCommand(Kind.MOVE, "", "probe/a");
      }
      int down = (awaitLeader(coordinators) + 1) % 3;
      coordinators.process(down).kill();
      coordinators.process(down).waitFor(5000);
      for (Path snapshot :
          pollUntil(() -> snapshots(coordinators.dataDirectory(down)), files -> !files.isEmpty())) {
        byte[] content = Files.readAllBytes(snapshot);
        Files.write(snapshot, Arrays.copyOf(content, content.length / 2));
      }
      coordinators.start(down);
      assertThat(coordinators.process(down).waitFor(15_000))
          .as(coordinators.process(down).lastLines())
          .isEqualTo(1);
      assertThat(coordinators.process(down).lastLines())
          .contains("TB-1107")
          .contains("what to do: ");
      // Follow the printed advice: move the directory away, start empty while all others run, and
      // restart the leader.
      Files.move(coordinators.dataDirectory(down), folder.resolve("put-away"));
      coordinators.start(down);
      int leader = awaitLeader(coordinators);
      coordinators.process(leader).terminate();
      assertThat(coordinators.process(leader).waitFor(10_000)).isZero();
      coordinators.start(leader);
      pollUntil(() -> snapshots(coordinators.dataDirectory(down)), files -> !files.isEmpty());
      awaitLeader(coordinators);
      coordinators.process(3 - leader - down).kill();
      // Two coordinators are left, so the recovered one is needed for the quorum.
      assertThat(lease(client, "report").fencingToken()).isGreaterThanOrEqualTo(token);
    }
  }

  /**
   * Guards against a coordinator that hangs after it was sent a snapshot, as the others no longer
   * had the log entries that it lacked: with another one killed, no command was answered any more.
   * Two members need a snapshot in turn.
   */
  @Test
  void restartedCoordinatorsThatNeedASnapshotCountForTheQuorum() throws Exception {
    try (CoordinatorProcesses coordinators =
        new CoordinatorProcesses(
            folder, 3, SETTINGS.replace("ms = 1500", "ms = 5000") + "[limits]\ntext = 4096\n")) {
      CoordinatorClient client = client(coordinators);
      Member holderMember = new Member("g0", "first", client);
      holderMember.acquire("report");
      int leader = awaitLeader(coordinators);
      List<Integer> followers = List.of((leader + 1) % 3, (leader + 2) % 3);
      long revision = 0;
      for (int away : followers) {
        coordinators.process(away).kill();
        coordinators.process(away).waitFor(5000);
        long written = openSegmentIndex(coordinators.dataDirectory(leader));
        while (oldestSegmentIndex(coordinators.dataDirectory(leader)) <= written) {
          revision = publish(holderMember, client, revision);
        }
        long missed = latestSnapshotIndex(coordinators.dataDirectory(away));
        coordinators.start(away);
        pollUntil(
            () -> latestSnapshotIndex(coordinators.dataDirectory(away)), index -> index > missed);
      }
      coordinators.process(leader).kill();
      assertThat(publish(holderMember, client, revision)).isEqualTo(revision + 1);
      assertThat(lease(client, "report").revision()).isEqualTo(revision + 1);
      for (int restarted : followers) {
        assertThat(coordinators.process(restarted).lastLines()).doesNotContain("TB-1110");
      }
    }
  }

  /** Renews the lease if that is due and publishes a long value; returns its revision. */
  private static long publish(Member holderMember, CoordinatorClient client, long revision)
      throws Exception {
    holderMember.acquire("report");
    LeaseCommand publish =
        holderMember.holder.createPublishCommand(
            "report", revision, "v".repeat(4000), Member.nowUs());
    CommandResult result = client.sendCommand(publish);
    assertThat(result.error()).isNull();
    holderMember.holder.handleResult(publish.sequence(), result, Member.nowUs());
    return result.revision();
  }

  /** Returns the index of the first entry in the log's oldest segment, or -1. */
  private static long oldestSegmentIndex(Path dataDirectory) throws IOException {
    return firstIndexes(dataDirectory, "log_(?:inprogress_)?(\\d+)(?:-\\d+)?").min().orElse(-1);
  }

  /** Returns the index of the first entry in the log segment that is being written. */
  private static long openSegmentIndex(Path dataDirectory) throws IOException {
    return firstIndexes(dataDirectory, "log_inprogress_(\\d+)").max().orElse(-1);
  }

  private static long latestSnapshotIndex(Path dataDirectory) throws IOException {
    return firstIndexes(dataDirectory, "snapshot\\.\\d+_(\\d+)").max().orElse(-1);
  }

  private static LongStream firstIndexes(Path dataDirectory, String fileName) throws IOException {
    try (Stream<Path> files = Files.walk(dataDirectory)) {
      return LongStream.of(
          files
              .map(path -> path.getFileName().toString())
              .filter(name -> name.matches(fileName))
              .mapToLong(name -> Long.parseLong(name.replaceAll(fileName, "$1")))
              .toArray());
    } catch (UncheckedIOException renamedMeanwhile) {
      return LongStream.empty();
    }
  }

  private static List<Path> snapshots(Path dataDirectory) throws IOException {
    if (!Files.exists(dataDirectory)) {
      return List.of();
    }
    try (Stream<Path> files = Files.walk(dataDirectory)) {
      return files
          .filter(path -> path.getFileName().toString().matches("snapshot\\.\\d+_\\d+"))
          .sorted()
          .toList();
    } catch (UncheckedIOException renamedMeanwhile) {
      return List.of();
    }
  }

  /**
   * Guards against a long poll that misses the release of a task and returns only at its timeout,
   * or that returns a task assigned to another member.
   */
  @Test
  void longPollCompletesAsSoonAsTheTaskIsReleased() throws Exception {
    try (CoordinatorProcesses coordinators =
        new CoordinatorProcesses(
            folder, 1, SETTINGS.replace(", \"probe/a\"", "").replace("ms = 1500", "ms = 60000"))) {
      CoordinatorClient client = client(coordinators);
      Member holderMember = new Member("g0", "first", client);
      holderMember.acquire("report");
      client.sendCommand(LeaseCommand.of(Kind.JOIN, "second", 1, "g1"));
      String address = coordinators.addresses().get(0);
      assertThat(send(address, "GET", "/fleet/wanted?name=g1&wait_ms=1", "").body())
          .isEqualTo("[]");
      CompletableFuture<String> longPoll =
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return send(address, "GET", "/fleet/wanted?name=g1&wait_ms=7000", "").body();
                } catch (Exception exception) {
                  return exception.toString();
                }
              });
      long releasedAt = System.nanoTime();
      holderMember.holder.leave();
      holderMember.step();
      // Not caused by a timeout: the lease lasts 60 s, and the long poll waits up to 7 s.
      assertThat(longPoll.get()).isEqualTo("[\"report\"]");
      assertThat(System.nanoTime() - releasedAt).isLessThan(5_000_000_000L);
      assertThat(send(address, "GET", "/fleet/wanted?name=g0&wait_ms=1", "").body())
          .isEqualTo("[]");
      for (String malformedQuery :
          List.of("x=1", "name=g0&wait_ms=99999", "name=g0&wait_ms=x", "name=&wait_ms=1")) {
        assertThat(send(address, "GET", "/fleet/wanted?" + malformedQuery, "").body())
            .as(malformedQuery)
            .contains("TB-1104");
      }
    }
  }

  /**
   * Guards against a coordinator that goes on after a failed write of its log, or that acknowledged
   * a command before it was on disk. A limit on the file size simulates a full disk.
   */
  @Test
  void fullDiskEndsCoordinatorAndKeepsAcknowledgedCommands() throws Exception {
    try (CoordinatorProcesses coordinators =
        new CoordinatorProcesses(
            folder,
            1,
            SETTINGS.replace("every = 20", "every = 1000000"),
            (coordinator, isRaft, address) -> address)) {
      coordinators.start(0, List.of(), line -> {}, 100 * 1024);
      CoordinatorClient client = new CoordinatorClient(coordinators.addresses(), 5000);
      pollUntil(
          () -> coordinators.process(0).lastLines(), lines -> lines.contains("became leader"));
      client.state();
      long acknowledged = 0;
      try {
        while (acknowledged < 5000
            && client
                    .sendCommand(
                        LeaseCommand.of(
                            acknowledged == 0 ? Kind.JOIN : Kind.RENEW,
                            "x",
                            acknowledged + 1,
                            "g0"))
                    .error()
                == null) {
          acknowledged++;
        }
      } catch (CoordinatorException.CoordinatorUnavailable expected) {
        // The only coordinator has ended.
      } catch (TidebankException.RequestRejected rejected) {
        // A request between the failed write and the exit is rejected with the cause.
        assertThat(rejected.details().is(StorageException.DataDirectoryUnusable.class))
            .as(rejected.getMessage())
            .isTrue();
      }
      assertThat(coordinators.process(0).waitFor(15_000))
          .as(coordinators.process(0).lastLines())
          .isEqualTo(1);
      assertThat(coordinators.process(0).lastLines())
          .contains("tidebank: TB-1108")
          .contains("what to do: ")
          .contains("free some space");
      coordinators.start(0);
      assertThat(
              pollUntil(client(coordinators)::state, state -> !state.members().isEmpty())
                  .members()
                  .get(0)
                  .lastSequence())
          .as("last acknowledged sequence number, or the next one, written but not acknowledged")
          .isBetween(acknowledged, acknowledged + 1);
    }
  }

  /**
   * Guards against two coordinators on one data directory, and against a start failure or an
   * unreachable coordinator that is reported without its error condition.
   */
  @Test
  void dataDirectoryInUseAndUnreachableAddressAreReported() throws Exception {
    try (CoordinatorProcesses coordinators = new CoordinatorProcesses(folder, 1, SETTINGS)) {
      awaitLeader(coordinators);
      // A second coordinator with the same data directory and other addresses.
      try (CoordinatorProcesses second =
          new CoordinatorProcesses(folder, 1, SETTINGS.replace("ms = 200", "ms = 200 # another"))) {
        assertThat(second.process(0).waitFor(15_000))
            .as(second.process(0).lastLines())
            .isEqualTo(1);
        assertThat(second.process(0).lastLines()).contains("TB-1108").contains("what to do: ");
      }
      assertThatThrownBy(() -> new CoordinatorClient(List.of("127.0.0.1:1"), 100).state())
          .isInstanceOf(CoordinatorException.CoordinatorUnavailable.class);
    }
  }
}
