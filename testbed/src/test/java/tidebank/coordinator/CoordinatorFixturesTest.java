package tidebank.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
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
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import java.util.zip.ZipEntry;
import java.util.zip.ZipInputStream;
import java.util.zip.ZipOutputStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tidebank.testbed.fleet.CoordinatorProcesses;

/**
 * Compatibility with an earlier release: a coordinator process starts on that release's data
 * directory and gives the same responses to its HTTP requests. To regenerate the fixtures, run
 * {@code mvn -o -pl MODULE -am test -Dtest=CoordinatorFixturesTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dtests.excluded=} with the module of this class.
 */
@Timeout(120)
class CoordinatorFixturesTest {
  private static final Path FIXTURE_DIRECTORY = Path.of("src/test/resources/fixtures/control");
  private static final String SETTINGS =
      "[duties]\nnames = [\"report\", \"probe/a\"]\n[lease]\nms = 600000\n"
          + "[election]\nms = 200\n[snapshot]\nevery = 20\n";
  private static final long TIMEOUT_NS = 20_000_000_000L;
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Keys of clock times, terms, addresses and messages, which vary between runs or releases. */
  private static final Set<String> VARYING_KEYS =
      Set.of("what", "advice", "now", "until", "aliveUntil", "calmAt", "wallMs", "term", "leader");

  @TempDir private Path folder;
  private final HttpClient http = HttpClient.newHttpClient();

  private HttpResponse<String> send(String address, String method, String path, String body)
      throws Exception {
    return http.send(
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofSeconds(8))
            .method(method, BodyPublishers.ofString(body))
            .build(),
        BodyHandlers.ofString());
  }

  private HttpResponse<String> pollUntil(
      String address, String path, Predicate<HttpResponse<String>> condition) throws Exception {
    long deadline = System.nanoTime() + TIMEOUT_NS;
    while (true) {
      try {
        HttpResponse<String> response = send(address, "GET", path, "");
        if (condition.test(response)) {
          return response;
        }
      } catch (IOException refused) {
        // The coordinator does not listen yet.
      }
      assertThat(System.nanoTime()).as("timeout waiting for " + path).isLessThan(deadline);
      Thread.sleep(10);
    }
  }

  /** Waits until the coordinator serves a state that contains the tasks of its file. */
  private void awaitReady(CoordinatorProcesses coordinators) throws Exception {
    pollUntil(
        coordinators.addresses().get(0),
        "/fleet/state",
        response -> response.statusCode() == 200 && response.body().contains("\"probe/a\""));
  }

  private static InputStream fixture(String name) {
    InputStream in = CoordinatorFixturesTest.class.getResourceAsStream("/fixtures/control/" + name);
    assertThat(in).as(name).isNotNull();
    return in;
  }

  // ---- HTTP

  private record Request(String method, String path, String body) {}

  private static String commandJson(String kind, String session, int sequence, String otherFields) {
    return "{\"kind\":\""
        + kind
        + "\",\"session\":\""
        + session
        + "\",\"number\":"
        + sequence
        + otherFields
        + "}";
  }

  private static List<Request> requests() {
    String post = "POST";
    String path = "/fleet/command";
    return List.of(
        new Request("GET", "/health/ready", ""),
        new Request(post, path, commandJson("JOIN", "a", 1, ",\"name\":\"g0\"")),
        new Request("GET", "/fleet/wanted?name=g0&wait_ms=1000", ""),
        new Request(
            post, path, commandJson("CLAIM", "a", 2, ",\"name\":\"g0\",\"duty\":\"report\"")),
        new Request(
            post, path, commandJson("CLAIM", "a", 2, ",\"name\":\"g0\",\"duty\":\"report\"")),
        new Request(
            post, path, commandJson("CLAIM", "a", 1, ",\"name\":\"g0\",\"duty\":\"report\"")),
        new Request(
            post,
            path,
            commandJson(
                "PUBLISH",
                "a",
                3,
                ",\"name\":\"g0\",\"duty\":\"report\",\"token\":1,\"revision\":0,"
                    + "\"value\":\"report-1-by-1.json\"")),
        new Request(
            post,
            path,
            commandJson(
                "PUBLISH",
                "a",
                4,
                ",\"name\":\"g0\",\"duty\":\"report\",\"token\":7,\"revision\":1,"
                    + "\"value\":\"report-2-by-7.json\"")),
        new Request(
            post,
            path,
            commandJson(
                "PUBLISH",
                "a",
                5,
                ",\"name\":\"g0\",\"duty\":\"report\",\"token\":1,\"revision\":7,"
                    + "\"value\":\"report-2-by-1.json\"")),
        new Request(post, path, commandJson("JOIN", "b", 1, ",\"name\":\"g0\"")),
        new Request(post, path, commandJson("JOIN", "b", 2, ",\"name\":\"g1\"")),
        new Request(
            post, path, commandJson("CLAIM", "b", 3, ",\"name\":\"g1\",\"duty\":\"report\"")),
        new Request(
            post, path, commandJson("MOVE", "op", 1, ",\"name\":\"g1\",\"duty\":\"probe/a\"")),
        new Request(post, path, commandJson("MOVE", "op", 2, ",\"duty\":\"nothing\"")),
        new Request(post, path, commandJson("DRAIN", "op", 3, ",\"name\":\"nobody\"")),
        new Request(
            post,
            path,
            commandJson("RELEASE", "a", 6, ",\"name\":\"g0\",\"duty\":\"report\",\"token\":1")),
        new Request(post, path, commandJson("RENEW", "c", 1, ",\"name\":\"g7\"")),
        new Request("GET", "/fleet/state", ""),
        new Request("GET", "/fleet/history", ""),
        new Request("GET", "/fleet/wanted?name=nobody&wait_ms=1", ""),
        new Request("GET", "/fleet/wanted?name=&wait_ms=1", ""),
        new Request("GET", "/fleet/wanted?name=g0&wait_ms=99999", ""),
        new Request(post, path, "{"),
        new Request(post, path, "{\"kind\":\"NONE\"}"),
        new Request(post, path, "{\"kind\":\"PLAN\",\"session\":\"x\",\"number\":1}"),
        new Request(post, path, commandJson("JOIN", "", 1, ",\"name\":\"g0\"")),
        new Request(post, path, commandJson("JOIN", "x", 0, ",\"name\":\"g0\"")),
        new Request(post, path, commandJson("JOIN", "x", 1, "")),
        new Request(post, path, commandJson("JOIN", "x", 1, ",\"odd\":1")),
        new Request("GET", "/fleet", ""),
        new Request("GET", "/fleet/command", ""),
        new Request("DELETE", "/fleet/state", ""));
  }

  /** Replaces varying values of a response with asterisks; the order of keys is kept. */
  private static JsonNode maskVarying(JsonNode node) {
    if (node instanceof ObjectNode object) {
      List<String> names = new ArrayList<>();
      object.fieldNames().forEachRemaining(names::add);
      for (String name : names) {
        JsonNode value = object.get(name);
        if (VARYING_KEYS.contains(name) && value.isValueNode() && !value.isNull()) {
          object.put(name, "*");
        } else if (value.asText().startsWith("plan of ")) {
          object.put(name, "plan of *");
        } else {
          object.set(name, maskVarying(value));
        }
      }
    } else if (node instanceof ArrayNode array) {
      for (int i = 0; i < array.size(); i++) {
        array.set(i, maskVarying(array.get(i)));
      }
    }
    return node;
  }

  /** Sends a request; returns it with its masked response, in the format of the fixture. */
  private ObjectNode exchange(String address, String method, String path, String body)
      throws Exception {
    HttpResponse<String> response = send(address, method, path, body);
    ObjectNode line = JSON.createObjectNode().put("method", method).put("path", path);
    line.put("body", body).put("status", response.statusCode());
    line.put("type", response.headers().firstValue("content-type").orElse(""));
    line.set("answer", maskResponse(path, JSON.readTree(response.body())));
    return line;
  }

  /** Masks a response; in the audit log only times vary, since its texts are stored. */
  private static JsonNode maskResponse(String path, JsonNode response) {
    if (!path.equals("/fleet/history")) {
      return maskVarying(response);
    }
    response.findParents("wallMs").forEach(entry -> ((ObjectNode) entry).put("wallMs", "*"));
    return response;
  }

  @Test
  @Tag("fixture-writer")
  void writeHttpFixture() throws Exception {
    StringBuilder lines = new StringBuilder();
    try (CoordinatorProcesses coordinators = new CoordinatorProcesses(folder, 1, SETTINGS)) {
      awaitReady(coordinators);
      for (Request request : requests()) {
        lines
            .append(
                exchange(
                    coordinators.addresses().get(0),
                    request.method(),
                    request.path(),
                    request.body()))
            .append('\n');
      }
    }
    Files.createDirectories(FIXTURE_DIRECTORY);
    Files.writeString(FIXTURE_DIRECTORY.resolve("http.jsonl"), lines);
  }

  /** Guards against an HTTP interface that differs from the one clients were built against. */
  @Test
  void storedHttpRequestsGetTheStoredStatusAndBody() throws Exception {
    List<String> lines =
        new String(fixture("http.jsonl").readAllBytes(), StandardCharsets.UTF_8).lines().toList();
    assertThat(lines).hasSize(requests().size());
    try (CoordinatorProcesses coordinators = new CoordinatorProcesses(folder, 1, SETTINGS)) {
      awaitReady(coordinators);
      for (String line : lines) {
        JsonNode stored = JSON.readTree(line);
        assertThat(
                exchange(
                        coordinators.addresses().get(0),
                        stored.get("method").asText(),
                        stored.get("path").asText(),
                        stored.get("body").asText())
                    .toString())
            .isEqualTo(line);
      }
    }
  }

  /** Guards against a follower that does not redirect clients to the leader. */
  @Test
  void followerRespondsMisdirectedWithTheLeadersLocation() throws Exception {
    try (CoordinatorProcesses coordinators = new CoordinatorProcesses(folder, 3, SETTINGS)) {
      for (String address : coordinators.addresses()) {
        pollUntil(address, "/health/ready", response -> response.statusCode() == 200);
      }
      HttpResponse<String> misdirected = null;
      for (String address : coordinators.addresses()) {
        HttpResponse<String> response =
            pollUntil(address, "/fleet/state", candidate -> candidate.statusCode() != 503);
        misdirected = response.statusCode() == 421 ? response : misdirected;
      }
      assertThat(misdirected).isNotNull();
      assertThat(maskVarying(JSON.readTree(misdirected.body())).toString())
          .isEqualTo(
              "{\"fault\":{\"code\":\"TB-1101\",\"what\":\"*\",\"again\":\"ELSEWHERE\","
                  + "\"advice\":\"*\"},\"grants\":null,\"wanted\":null,\"terms\":null,"
                  + "\"revision\":0}");
      assertThat(misdirected.headers().firstValue("location").orElse(""))
          .isIn(coordinators.addresses().stream().map(address -> "http://" + address).toList());
    }
  }

  // ---- the data directory

  private static boolean hasSnapshot(Path dataDirectory) {
    try (Stream<Path> files = Files.walk(dataDirectory)) {
      return files.anyMatch(file -> file.getFileName().toString().matches("snapshot\\.\\d+_\\d+"));
    } catch (UncheckedIOException | IOException renamedMeanwhile) {
      return false;
    }
  }

  private void sendAccepted(CoordinatorProcesses coordinators, String body) throws Exception {
    HttpResponse<String> response =
        send(coordinators.addresses().get(0), "POST", "/fleet/command", body);
    assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
    assertThat(response.body()).startsWith("{\"fault\":null");
  }

  /** Creates members, leases, a published value and an operator session around a snapshot. */
  private void populate(CoordinatorProcesses coordinators) throws Exception {
    awaitReady(coordinators);
    sendAccepted(coordinators, commandJson("JOIN", "a", 1, ",\"name\":\"g0\""));
    sendAccepted(
        coordinators, commandJson("CLAIM", "a", 2, ",\"name\":\"g0\",\"duty\":\"report\""));
    sendAccepted(
        coordinators, commandJson("CLAIM", "a", 3, ",\"name\":\"g0\",\"duty\":\"probe/a\""));
    sendAccepted(
        coordinators,
        commandJson(
            "PUBLISH",
            "a",
            4,
            ",\"name\":\"g0\",\"duty\":\"report\",\"token\":1,\"revision\":0,"
                + "\"value\":\"report-1-by-1.json\""));
    sendAccepted(coordinators, commandJson("JOIN", "b", 1, ",\"name\":\"g1\""));
    int renewals = 0;
    while (!hasSnapshot(coordinators.dataDirectory(0))) {
      assertThat(++renewals).isLessThan(1000);
      sendAccepted(coordinators, commandJson("RENEW", "b", 1 + renewals, ",\"name\":\"g1\""));
    }
    sendAccepted(
        coordinators, commandJson("MOVE", "op", 1, ",\"name\":\"g1\",\"duty\":\"probe/a\""));
    sendAccepted(
        coordinators,
        commandJson("RELEASE", "a", 5, ",\"name\":\"g0\",\"duty\":\"probe/a\",\"token\":1"));
    sendAccepted(
        coordinators,
        commandJson("CLAIM", "b", 2 + renewals, ",\"name\":\"g1\",\"duty\":\"probe/a\""));
    sendAccepted(coordinators, commandJson("DRAIN", "op", 2, ",\"name\":\"g1\""));
  }

  /** Returns the state without the clock, which advances. */
  private String stateWithoutClock(CoordinatorProcesses coordinators) throws Exception {
    ObjectNode state =
        (ObjectNode)
            JSON.readTree(send(coordinators.addresses().get(0), "GET", "/fleet/state", "").body());
    return state.put("now", "*").toString();
  }

  private String auditLog(CoordinatorProcesses coordinators) throws Exception {
    return send(coordinators.addresses().get(0), "GET", "/fleet/history", "").body();
  }

  private static void pack(Path root, Path archive) throws IOException {
    try (ZipOutputStream zip = new ZipOutputStream(Files.newOutputStream(archive));
        Stream<Path> files = Files.walk(root)) {
      for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
        if (!file.getFileName().toString().equals("in_use.lock")) {
          zip.putNextEntry(new ZipEntry(root.relativize(file).toString()));
          Files.copy(file, zip);
        }
      }
    }
  }

  private static void unpack(InputStream archive, Path root) throws IOException {
    try (ZipInputStream zip = new ZipInputStream(archive)) {
      for (ZipEntry entry = zip.getNextEntry(); entry != null; entry = zip.getNextEntry()) {
        Path file = root.resolve(entry.getName());
        Files.createDirectories(file.getParent());
        Files.copy(zip, file);
      }
    }
  }

  @Test
  @Tag("fixture-writer")
  void writeDataDirectoryFixture() throws Exception {
    Files.createDirectories(FIXTURE_DIRECTORY);
    try (CoordinatorProcesses coordinators = new CoordinatorProcesses(folder, 1, SETTINGS)) {
      populate(coordinators);
      Files.writeString(
          FIXTURE_DIRECTORY.resolve("data-directory-state.json"), stateWithoutClock(coordinators));
      Files.writeString(
          FIXTURE_DIRECTORY.resolve("data-directory-history.json"), auditLog(coordinators));
      coordinators.process(0).kill();
      coordinators.process(0).waitFor(5000);
      pack(coordinators.dataDirectory(0), FIXTURE_DIRECTORY.resolve("data-directory.zip"));
    }
  }

  /** Guards against a release that loses state stored by an earlier one. */
  @Test
  void storedDataDirectoryIsRestoredWithStateAndAuditLog() throws Exception {
    try (CoordinatorProcesses coordinators =
        new CoordinatorProcesses(folder, 1, SETTINGS, (coordinator, isRaft, address) -> address)) {
      unpack(fixture("data-directory.zip"), coordinators.dataDirectory(0));
      assertThat(hasSnapshot(coordinators.dataDirectory(0))).isTrue();
      coordinators.start(0);
      awaitReady(coordinators);
      assertThat(stateWithoutClock(coordinators))
          .isEqualTo(
              new String(
                  fixture("data-directory-state.json").readAllBytes(), StandardCharsets.UTF_8));
      assertThat(auditLog(coordinators))
          .isEqualTo(
              new String(
                  fixture("data-directory-history.json").readAllBytes(), StandardCharsets.UTF_8));
    }
  }

  private static boolean isLeaderNotReady(JsonNode result) {
    JsonNode error = result.path("fault");
    return error.path("code").asText().equals("TB-1102")
        && error.path("what").asText().contains("LeaderNotReadyException");
  }

  /** Sends the last command of the stored data directory again. */
  private JsonNode sendDuplicate(CoordinatorProcesses coordinators) throws Exception {
    return JSON.readTree(
        send(
                coordinators.addresses().get(0),
                "POST",
                "/fleet/command",
                commandJson("DRAIN", "op", 2, ",\"name\":\"g1\""))
            .body());
  }

  /** Guards against executing a command twice that is retried across an upgrade. */
  @Test
  void duplicateCommandOnStoredDataGetsItsFirstResult() throws Exception {
    try (CoordinatorProcesses coordinators =
        new CoordinatorProcesses(folder, 1, SETTINGS, (coordinator, isRaft, address) -> address)) {
      unpack(fixture("data-directory.zip"), coordinators.dataDirectory(0));
      coordinators.start(0);
      awaitReady(coordinators);
      JsonNode before =
          JSON.readTree(send(coordinators.addresses().get(0), "GET", "/fleet/state", "").body());
      // A new leader may serve reads before it accepts commands; until then it responds TB-1102,
      // after which the same command with the same number is to be sent again.
      long deadline = System.nanoTime() + TIMEOUT_NS;
      JsonNode duplicateResult = sendDuplicate(coordinators);
      while (isLeaderNotReady(duplicateResult) && System.nanoTime() < deadline) {
        Thread.sleep(10);
        duplicateResult = sendDuplicate(coordinators);
      }
      JsonNode operators = before.get("operators");
      assertThat(duplicateResult).isEqualTo(operators.get(operators.size() - 1).get("answer"));
    }
  }
}
