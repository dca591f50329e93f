package tidebank.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static tidebank.testbed.fleet.Polling.TIMEOUT_MS;
import static tidebank.testbed.fleet.Polling.until;

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

/** Stewards as processes, killed, stopped and woken, emptied and damaged between calls. */
@Timeout(120)
class CoordinatorProcessesTest {
  private static final String SETTINGS =
      "[duties]\nnames = [\"report\", \"probe/a\"]\n[lease]\nms = 1500\n"
          + "[election]\nms = 200\n[snapshot]\nevery = 20\n";

  @TempDir private Path folder;

  /** A member that is only its rules: it asks when it is told to. */
  private static final class Member {
    private final LeaseHolder holder;
    private final CoordinatorClient client;

    Member(String name, String session, CoordinatorClient client) {
      holder = new LeaseHolder(name, session);
      this.client = client;
    }

    static long now() {
      return System.nanoTime() / 1000;
    }

    CommandResult step() throws IOException {
      LeaseCommand command = holder.nextCommand(now());
      if (command == null) {
        return null;
      }
      CommandResult answer = client.command(command);
      holder.handleResult(command.sequence(), answer, now());
      return answer;
    }

    /** Asks until it owns the duty; its token. */
    long own(String duty) throws Exception {
      return until(
          () -> {
            step();
            return holder.tokenIfHeld(duty, now(), 0);
          },
          token -> token > 0);
    }
  }

  private static CoordinatorClient client(CoordinatorProcesses stewards) {
    return new CoordinatorClient(stewards.addresses(), TIMEOUT_MS);
  }

  private static TaskLease duty(CoordinatorClient client, String name) throws IOException {
    return client.state().tasks().stream()
        .filter(duty -> duty.task().equals(name))
        .findFirst()
        .orElseThrow();
  }

  /** The steward that leads, as it says itself. */
  private static int leader(CoordinatorProcesses stewards) throws Exception {
    return until(
        () -> {
          for (int i = 0; i < stewards.count(); i++) {
            try {
              HttpResponse<String> response =
                  call(stewards.addresses().get(i), "GET", "/fleet/state", "");
              if (response.statusCode() == 200) {
                return i;
              }
            } catch (IOException notThis) {
              // Down or stopped.
            }
          }
          return -1;
        },
        one -> one >= 0);
  }

  private static HttpResponse<String> call(String address, String method, String path, String body)
      throws Exception {
    return HttpClient.newHttpClient()
        .send(
            HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofSeconds(8))
                .method(method, BodyPublishers.ofString(body))
                .build(),
            BodyHandlers.ofString());
  }

  @Test
  void oneStewardDecidesRemembersAcrossAKillAndNamesEachFault() throws Exception {
    try (CoordinatorProcesses stewards = new CoordinatorProcesses(folder, 1, SETTINGS)) {
      CoordinatorClient client = client(stewards);
      Member member = new Member("g0", "first", client);
      long token = member.own("report");
      LeaseCommand published = member.holder.publish("report", 0, "fleet-1." + token, Member.now());
      CommandResult first = client.command(published);
      assertThat(first.revision()).isEqualTo(1);
      stewards.process(0).kill();
      stewards.process(0).waitFor(5000);
      stewards.start(0);
      // Sent again, as if the answer had been lost: it took effect once, and the answer is the
      // first one's.
      assertThat(client.command(published)).isEqualTo(first);
      assertThat(duty(client, "report").value()).isEqualTo("fleet-1." + token);
      assertThat(duty(client, "report").revision()).isEqualTo(1);
      long after = new Member("g1", "other", client).own("report");
      assertThat(after).isGreaterThan(token);

      String address = stewards.addresses().get(0);
      String[][] faults = {
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
      for (String[] fault : faults) {
        HttpResponse<String> response = call(address, fault[0], fault[1], fault[2]);
        JsonNode told = new ObjectMapper().readTree(response.body()).path("fault");
        assertThat(response.statusCode() + " " + told.path("code").asText())
            .as(fault[2])
            .isEqualTo(fault[3] + " " + fault[4]);
        assertThat(told.path("advice").asText()).isNotBlank();
      }
      assertThat(call(address, "POST", "/fleet/command", "x".repeat(70_000)).statusCode())
          .isEqualTo(413);
    }
  }

  @Test
  void aKilledLeaderIsFollowedByAnotherAndAnOwnerKeepsItsDuty() throws Exception {
    try (CoordinatorProcesses stewards = new CoordinatorProcesses(folder, 3, SETTINGS)) {
      CoordinatorClient client = client(stewards);
      Member owner = new Member("g0", "first", client);
      long token = owner.own("report");
      int leader = leader(stewards);
      stewards.process(leader).kill();
      // Its renewals go on, at the next leader; until then it stops by itself if the lease ends
      // first.
      assertThat(owner.own("report")).isGreaterThanOrEqualTo(token);
      assertThat(leader(stewards)).isNotEqualTo(leader);
      // A second one lost, there is no majority, and nothing is decided: neither a duty nor a
      // second owner.
      int second = leader(stewards);
      stewards.process(second).kill();
      int left = 3 - leader - second;
      HttpResponse<String> response =
          until(
              () -> call(stewards.addresses().get(left), "GET", "/fleet/state", ""),
              answer -> answer.statusCode() != 200);
      assertThat(response.body()).containsAnyOf("TB-1101", "TB-1102");
      stewards.start(leader);
      assertThat(owner.own("report")).isGreaterThanOrEqualTo(token);
    }
  }

  @Test
  void aLeaderThatIsStoppedAndWokenDecidesNothingAsASecondLeader() throws Exception {
    try (CoordinatorProcesses stewards = new CoordinatorProcesses(folder, 3, SETTINGS)) {
      CoordinatorClient client = client(stewards);
      Member owner = new Member("g0", "first", client);
      long token = owner.own("report");
      int old = leader(stewards);
      stewards.process(old).stop();
      Member next =
          new Member(
              "g1",
              "second",
              new CoordinatorClient(
                  stewards.addresses().stream()
                      .filter(address -> !address.equals(stewards.addresses().get(old)))
                      .toList(),
                  TIMEOUT_MS));
      long taken = next.own("report");
      assertThat(taken).isGreaterThan(token);
      // By its own clock the first owner knew that its time was over, though nobody could tell it
      // so.
      assertThat(owner.holder.tokenIfHeld("report", Member.now(), 0)).isZero();
      stewards.process(old).wake();
      // What the woken one says is never that the old owner may publish, whether it thinks that it
      // leads or not.
      LeaseCommand late =
          new LeaseCommand(Kind.PUBLISH, "first", 99, "g0", "report", token, 0, "too late", null);
      HttpResponse<String> said =
          until(
              () ->
                  call(
                      stewards.addresses().get(old),
                      "POST",
                      "/fleet/command",
                      new String(LeaseCodec.write(late), StandardCharsets.UTF_8)),
              answer -> answer.statusCode() != 503);
      assertThat(said.body()).containsAnyOf("TB-1101", "TB-1004");
      assertThat(
              client
                  .command(
                      new LeaseCommand(
                          Kind.PUBLISH, "first", 100, "g0", "report", token, 0, "too late", null))
                  .error()
                  .code())
          .isEqualTo("TB-1004");
      assertThat(duty(client, "report").revision()).isZero();
      assertThat(duty(client, "report").fencingToken()).isEqualTo(taken);
    }
  }

  @Test
  void oneWithAnEmptiedOrADamagedDiskLearnsAllFromTheOthersOrSaysWhatToDo() throws Exception {
    try (CoordinatorProcesses stewards = new CoordinatorProcesses(folder, 3, SETTINGS)) {
      CoordinatorClient client = client(stewards);
      Member owner = new Member("g0", "first", client);
      long token = owner.own("report");
      for (int i = 0; i < 60; i++) {
        client.operate(Kind.MOVE, "", "probe/a");
      }
      int down = (leader(stewards) + 1) % 3;
      stewards.process(down).kill();
      stewards.process(down).waitFor(5000);
      for (Path snapshot :
          until(() -> snapshots(stewards.dataDirectory(down)), found -> !found.isEmpty())) {
        byte[] whole = Files.readAllBytes(snapshot);
        Files.write(snapshot, Arrays.copyOf(whole, whole.length / 2));
      }
      stewards.start(down);
      assertThat(stewards.process(down).waitFor(15_000))
          .as(stewards.process(down).lastLines())
          .isEqualTo(1);
      assertThat(stewards.process(down).lastLines()).contains("TB-1107").contains("what to do: ");
      // As it was told: the folder out of the way, an empty one, with all others running, and the
      // leader once anew.
      Files.move(stewards.dataDirectory(down), folder.resolve("put-away"));
      stewards.start(down);
      int leader = leader(stewards);
      stewards.process(leader).terminate();
      assertThat(stewards.process(leader).waitFor(10_000)).isZero();
      stewards.start(leader);
      until(() -> snapshots(stewards.dataDirectory(down)), found -> !found.isEmpty());
      leader(stewards);
      stewards.process(3 - leader - down).kill();
      // It is one of the two that are left, and they need each other.
      assertThat(duty(client, "report").fencingToken()).isGreaterThanOrEqualTo(token);
    }
  }

  private static List<Path> snapshots(Path disk) throws IOException {
    if (!Files.exists(disk)) {
      return List.of();
    }
    try (Stream<Path> all = Files.walk(disk)) {
      return all.filter(path -> path.getFileName().toString().matches("snapshot\\.\\d+_\\d+"))
          .sorted()
          .toList();
    } catch (UncheckedIOException moving) {
      return List.of();
    }
  }

  @Test
  void whoWaitsForADutyHearsOfItAsSoonAsItIsFreeAndOthersDoNot() throws Exception {
    try (CoordinatorProcesses stewards =
        new CoordinatorProcesses(
            folder, 1, SETTINGS.replace(", \"probe/a\"", "").replace("ms = 1500", "ms = 60000"))) {
      CoordinatorClient client = client(stewards);
      Member owner = new Member("g0", "first", client);
      owner.own("report");
      client.command(LeaseCommand.of(Kind.JOIN, "second", 1, "g1"));
      String address = stewards.addresses().get(0);
      assertThat(call(address, "GET", "/fleet/wanted?name=g1&wait_ms=1", "").body())
          .isEqualTo("[]");
      CompletableFuture<String> news =
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return call(address, "GET", "/fleet/wanted?name=g1&wait_ms=7000", "").body();
                } catch (Exception fault) {
                  return fault.toString();
                }
              });
      long before = System.nanoTime();
      owner.holder.leave();
      owner.step();
      // The lease would have lasted a minute, and the call would have come back with nothing after
      // seven seconds.
      assertThat(news.get()).isEqualTo("[\"report\"]");
      assertThat(System.nanoTime() - before).isLessThan(5_000_000_000L);
      assertThat(call(address, "GET", "/fleet/wanted?name=g0&wait_ms=1", "").body())
          .isEqualTo("[]");
      for (String wrong :
          List.of("x=1", "name=g0&wait_ms=99999", "name=g0&wait_ms=x", "name=&wait_ms=1")) {
        assertThat(call(address, "GET", "/fleet/wanted?" + wrong, "").body())
            .as(wrong)
            .contains("TB-1104");
      }
    }
  }

  @Test
  void aFullDiskIsNamedEndsItAndLosesNothingThatWasAnswered() throws Exception {
    try (CoordinatorProcesses stewards =
        new CoordinatorProcesses(
            folder,
            1,
            SETTINGS.replace("every = 20", "every = 1000000"),
            (one, raft, address) -> address)) {
      stewards.start(0, List.of(), line -> {}, 100 * 1024);
      CoordinatorClient client = new CoordinatorClient(stewards.addresses(), 5000);
      until(() -> stewards.process(0).lastLines(), lines -> lines.contains("became leader"));
      client.state();
      long answered = 0;
      try {
        while (answered < 5000
            && client
                    .command(
                        LeaseCommand.of(
                            answered == 0 ? Kind.JOIN : Kind.RENEW, "x", answered + 1, "g0"))
                    .error()
                == null) {
          answered++;
        }
      } catch (CoordinatorException.CoordinatorUnavailable ended) {
        // As it was to: the one steward there is can't decide any more.
      } catch (TidebankException.RequestRejected refused) {
        // A call that comes between the failed write and the exit is answered with the cause.
        assertThat(refused.details().is(StorageException.DataDirectoryUnusable.class))
            .as(refused.getMessage())
            .isTrue();
      }
      assertThat(stewards.process(0).waitFor(15_000))
          .as(stewards.process(0).lastLines())
          .isEqualTo(1);
      assertThat(stewards.process(0).lastLines())
          .contains("tidebank: TB-1108")
          .contains("what to do: ")
          .contains("free some space");
      stewards.start(0);
      assertThat(
              until(client(stewards)::state, state -> !state.members().isEmpty())
                  .members()
                  .get(0)
                  .lastSequence())
          .as("the last one that was answered, or one more that was written")
          .isBetween(answered, answered + 1);
    }
  }

  @Test
  void whatKeepsAStewardFromStartingIsSaidWithWhatToDo() throws Exception {
    try (CoordinatorProcesses stewards = new CoordinatorProcesses(folder, 1, SETTINGS)) {
      leader(stewards);
      // A second one on the same folder and addresses.
      try (CoordinatorProcesses twin =
          new CoordinatorProcesses(folder, 1, SETTINGS.replace("ms = 200", "ms = 200 # another"))) {
        assertThat(twin.process(0).waitFor(15_000)).as(twin.process(0).lastLines()).isEqualTo(1);
        assertThat(twin.process(0).lastLines()).contains("TB-1108").contains("what to do: ");
      }
      assertThatThrownBy(() -> new CoordinatorClient(List.of("127.0.0.1:1"), 100).state())
          .isInstanceOf(CoordinatorException.CoordinatorUnavailable.class);
    }
  }
}
