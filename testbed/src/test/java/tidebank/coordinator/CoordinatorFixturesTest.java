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
 * A coordinator's data directory and its HTTP interface as of an earlier release: a process starts
 * on the stored log and snapshot and answers as that release did. The fixtures are written anew by
 * {@code mvn -o -pl MODULE -am test -Dtest=CoordinatorFixturesTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dtests.excluded=}, with the module that this class is
 * in.
 */
@Timeout(120)
class CoordinatorFixturesTest {
  private static final Path SOURCES = Path.of("src/test/resources/fixtures/control");
  private static final String SETTINGS =
      "[duties]\nnames = [\"report\", \"probe/a\"]\n[lease]\nms = 600000\n"
          + "[election]\nms = 200\n[snapshot]\nevery = 20\n";
  private static final long PATIENCE_NS = 20_000_000_000L;
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Keys whose values are times, terms or sentences for people. */
  private static final Set<String> VARYING =
      Set.of("what", "advice", "now", "until", "aliveUntil", "calmAt", "wallMs", "term", "leader");

  @TempDir private Path folder;
  private final HttpClient http = HttpClient.newHttpClient();

  private HttpResponse<String> call(String address, String method, String path, String body)
      throws Exception {
    return http.send(
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofSeconds(8))
            .method(method, BodyPublishers.ofString(body))
            .build(),
        BodyHandlers.ofString());
  }

  private HttpResponse<String> until(
      String address, String path, Predicate<HttpResponse<String>> wanted) throws Exception {
    long end = System.nanoTime() + PATIENCE_NS;
    while (true) {
      try {
        HttpResponse<String> response = call(address, "GET", path, "");
        if (wanted.test(response)) {
          return response;
        }
      } catch (IOException notYet) {
        // It does not listen yet.
      }
      assertThat(System.nanoTime()).as("in time: " + path).isLessThan(end);
      Thread.sleep(10);
    }
  }

  /** Until it leads and the tasks of its file are in the state. */
  private void untilItServes(CoordinatorProcesses stewards) throws Exception {
    until(
        stewards.addresses().get(0),
        "/fleet/state",
        response -> response.statusCode() == 200 && response.body().contains("\"probe/a\""));
  }

  private static InputStream fixture(String name) {
    InputStream in = CoordinatorFixturesTest.class.getResourceAsStream("/fixtures/control/" + name);
    assertThat(in).as(name).isNotNull();
    return in;
  }

  // ---- HTTP

  private record Exchange(String method, String path, String body) {}

  private static String command(String kind, String session, int number, String rest) {
    return "{\"kind\":\""
        + kind
        + "\",\"session\":\""
        + session
        + "\",\"number\":"
        + number
        + rest
        + "}";
  }

  private static List<Exchange> exchanges() {
    String post = "POST";
    String path = "/fleet/command";
    return List.of(
        new Exchange("GET", "/health/ready", ""),
        new Exchange(post, path, command("JOIN", "a", 1, ",\"name\":\"g0\"")),
        new Exchange("GET", "/fleet/wanted?name=g0&wait_ms=1000", ""),
        new Exchange(post, path, command("CLAIM", "a", 2, ",\"name\":\"g0\",\"duty\":\"report\"")),
        new Exchange(post, path, command("CLAIM", "a", 2, ",\"name\":\"g0\",\"duty\":\"report\"")),
        new Exchange(post, path, command("CLAIM", "a", 1, ",\"name\":\"g0\",\"duty\":\"report\"")),
        new Exchange(
            post,
            path,
            command(
                "PUBLISH",
                "a",
                3,
                ",\"name\":\"g0\",\"duty\":\"report\",\"token\":1,\"revision\":0,"
                    + "\"value\":\"report-1-by-1.json\"")),
        new Exchange(
            post,
            path,
            command(
                "PUBLISH",
                "a",
                4,
                ",\"name\":\"g0\",\"duty\":\"report\",\"token\":7,\"revision\":1,"
                    + "\"value\":\"report-2-by-7.json\"")),
        new Exchange(
            post,
            path,
            command(
                "PUBLISH",
                "a",
                5,
                ",\"name\":\"g0\",\"duty\":\"report\",\"token\":1,\"revision\":7,"
                    + "\"value\":\"report-2-by-1.json\"")),
        new Exchange(post, path, command("JOIN", "b", 1, ",\"name\":\"g0\"")),
        new Exchange(post, path, command("JOIN", "b", 2, ",\"name\":\"g1\"")),
        new Exchange(post, path, command("CLAIM", "b", 3, ",\"name\":\"g1\",\"duty\":\"report\"")),
        new Exchange(post, path, command("MOVE", "op", 1, ",\"name\":\"g1\",\"duty\":\"probe/a\"")),
        new Exchange(post, path, command("MOVE", "op", 2, ",\"duty\":\"nothing\"")),
        new Exchange(post, path, command("DRAIN", "op", 3, ",\"name\":\"nobody\"")),
        new Exchange(
            post,
            path,
            command("RELEASE", "a", 6, ",\"name\":\"g0\",\"duty\":\"report\",\"token\":1")),
        new Exchange(post, path, command("RENEW", "c", 1, ",\"name\":\"g7\"")),
        new Exchange("GET", "/fleet/state", ""),
        new Exchange("GET", "/fleet/history", ""),
        new Exchange("GET", "/fleet/wanted?name=nobody&wait_ms=1", ""),
        new Exchange("GET", "/fleet/wanted?name=&wait_ms=1", ""),
        new Exchange("GET", "/fleet/wanted?name=g0&wait_ms=99999", ""),
        new Exchange(post, path, "{"),
        new Exchange(post, path, "{\"kind\":\"NONE\"}"),
        new Exchange(post, path, "{\"kind\":\"PLAN\",\"session\":\"x\",\"number\":1}"),
        new Exchange(post, path, command("JOIN", "", 1, ",\"name\":\"g0\"")),
        new Exchange(post, path, command("JOIN", "x", 0, ",\"name\":\"g0\"")),
        new Exchange(post, path, command("JOIN", "x", 1, "")),
        new Exchange(post, path, command("JOIN", "x", 1, ",\"odd\":1")),
        new Exchange("GET", "/fleet", ""),
        new Exchange("GET", "/fleet/command", ""),
        new Exchange("DELETE", "/fleet/state", ""));
  }

  /** What does not vary of an answer; keys keep their order. */
  private static JsonNode stable(JsonNode node) {
    if (node instanceof ObjectNode object) {
      List<String> names = new ArrayList<>();
      object.fieldNames().forEachRemaining(names::add);
      for (String name : names) {
        JsonNode value = object.get(name);
        if (VARYING.contains(name) && value.isValueNode() && !value.isNull()) {
          object.put(name, "*");
        } else if (value.asText().startsWith("plan of ")) {
          object.put(name, "plan of *");
        } else {
          object.set(name, stable(value));
        }
      }
    } else if (node instanceof ArrayNode array) {
      for (int i = 0; i < array.size(); i++) {
        array.set(i, stable(array.get(i)));
      }
    }
    return node;
  }

  private ObjectNode answered(String address, String method, String path, String body)
      throws Exception {
    HttpResponse<String> response = call(address, method, path, body);
    ObjectNode line = JSON.createObjectNode().put("method", method).put("path", path);
    line.put("body", body).put("status", response.statusCode());
    line.put("type", response.headers().firstValue("content-type").orElse(""));
    line.set("answer", history(path, JSON.readTree(response.body())));
    return line;
  }

  /** The history's words are stored ones; only its times vary. */
  private static JsonNode history(String path, JsonNode answer) {
    if (!path.equals("/fleet/history")) {
      return stable(answer);
    }
    answer.findParents("wallMs").forEach(one -> ((ObjectNode) one).put("wallMs", "*"));
    return answer;
  }

  @Test
  @Tag("fixture-writer")
  void writeHttpFixture() throws Exception {
    StringBuilder lines = new StringBuilder();
    try (CoordinatorProcesses stewards = new CoordinatorProcesses(folder, 1, SETTINGS)) {
      untilItServes(stewards);
      for (Exchange one : exchanges()) {
        lines
            .append(answered(stewards.addresses().get(0), one.method(), one.path(), one.body()))
            .append('\n');
      }
    }
    Files.createDirectories(SOURCES);
    Files.writeString(SOURCES.resolve("http.jsonl"), lines);
  }

  @Test
  void everyHttpRequestIsAnsweredWithTheSameStatusAndBody() throws Exception {
    List<String> lines =
        new String(fixture("http.jsonl").readAllBytes(), StandardCharsets.UTF_8).lines().toList();
    assertThat(lines).hasSize(exchanges().size());
    try (CoordinatorProcesses stewards = new CoordinatorProcesses(folder, 1, SETTINGS)) {
      untilItServes(stewards);
      for (String line : lines) {
        JsonNode stored = JSON.readTree(line);
        assertThat(
                answered(
                        stewards.addresses().get(0),
                        stored.get("method").asText(),
                        stored.get("path").asText(),
                        stored.get("body").asText())
                    .toString())
            .isEqualTo(line);
      }
    }
  }

  @Test
  void aFollowerAnswersMisdirectedAndNamesTheLeader() throws Exception {
    try (CoordinatorProcesses stewards = new CoordinatorProcesses(folder, 3, SETTINGS)) {
      for (String address : stewards.addresses()) {
        until(address, "/health/ready", response -> response.statusCode() == 200);
      }
      HttpResponse<String> response = null;
      for (String address : stewards.addresses()) {
        HttpResponse<String> one =
            until(address, "/fleet/state", answer -> answer.statusCode() != 503);
        response = one.statusCode() == 421 ? one : response;
      }
      assertThat(response).isNotNull();
      assertThat(stable(JSON.readTree(response.body())).toString())
          .isEqualTo(
              "{\"fault\":{\"code\":\"TB-1101\",\"what\":\"*\",\"again\":\"ELSEWHERE\","
                  + "\"advice\":\"*\"},\"grants\":null,\"wanted\":null,\"terms\":null,"
                  + "\"revision\":0}");
      assertThat(response.headers().firstValue("location").orElse(""))
          .isIn(stewards.addresses().stream().map(address -> "http://" + address).toList());
    }
  }

  // ---- the data directory

  private static boolean hasSnapshot(Path disk) {
    try (Stream<Path> all = Files.walk(disk)) {
      return all.anyMatch(file -> file.getFileName().toString().matches("snapshot\\.\\d+_\\d+"));
    } catch (UncheckedIOException | IOException moving) {
      return false;
    }
  }

  private void accepted(CoordinatorProcesses stewards, String body) throws Exception {
    HttpResponse<String> response =
        call(stewards.addresses().get(0), "POST", "/fleet/command", body);
    assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
    assertThat(response.body()).startsWith("{\"fault\":null");
  }

  /** Members, leases, a published value and an operator, before the snapshot and after it. */
  private void fill(CoordinatorProcesses stewards) throws Exception {
    untilItServes(stewards);
    accepted(stewards, command("JOIN", "a", 1, ",\"name\":\"g0\""));
    accepted(stewards, command("CLAIM", "a", 2, ",\"name\":\"g0\",\"duty\":\"report\""));
    accepted(stewards, command("CLAIM", "a", 3, ",\"name\":\"g0\",\"duty\":\"probe/a\""));
    accepted(
        stewards,
        command(
            "PUBLISH",
            "a",
            4,
            ",\"name\":\"g0\",\"duty\":\"report\",\"token\":1,\"revision\":0,"
                + "\"value\":\"report-1-by-1.json\""));
    accepted(stewards, command("JOIN", "b", 1, ",\"name\":\"g1\""));
    int renewals = 0;
    while (!hasSnapshot(stewards.dataDirectory(0))) {
      assertThat(++renewals).isLessThan(1000);
      accepted(stewards, command("RENEW", "b", 1 + renewals, ",\"name\":\"g1\""));
    }
    accepted(stewards, command("MOVE", "op", 1, ",\"name\":\"g1\",\"duty\":\"probe/a\""));
    accepted(
        stewards, command("RELEASE", "a", 5, ",\"name\":\"g0\",\"duty\":\"probe/a\",\"token\":1"));
    accepted(
        stewards, command("CLAIM", "b", 2 + renewals, ",\"name\":\"g1\",\"duty\":\"probe/a\""));
    accepted(stewards, command("DRAIN", "op", 2, ",\"name\":\"g1\""));
  }

  /** The state without the clock, which goes on. */
  private String storedState(CoordinatorProcesses stewards) throws Exception {
    ObjectNode state =
        (ObjectNode)
            JSON.readTree(call(stewards.addresses().get(0), "GET", "/fleet/state", "").body());
    return state.put("now", "*").toString();
  }

  private String history(CoordinatorProcesses stewards) throws Exception {
    return call(stewards.addresses().get(0), "GET", "/fleet/history", "").body();
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
    Files.createDirectories(SOURCES);
    try (CoordinatorProcesses stewards = new CoordinatorProcesses(folder, 1, SETTINGS)) {
      fill(stewards);
      Files.writeString(SOURCES.resolve("data-directory-state.json"), storedState(stewards));
      Files.writeString(SOURCES.resolve("data-directory-history.json"), history(stewards));
      stewards.process(0).kill();
      stewards.process(0).waitFor(5000);
      pack(stewards.dataDirectory(0), SOURCES.resolve("data-directory.zip"));
    }
  }

  @Test
  void aCoordinatorStartsOnTheStoredDataDirectoryWithAllThatWasDecided() throws Exception {
    try (CoordinatorProcesses stewards =
        new CoordinatorProcesses(folder, 1, SETTINGS, (steward, raft, address) -> address)) {
      unpack(fixture("data-directory.zip"), stewards.dataDirectory(0));
      assertThat(hasSnapshot(stewards.dataDirectory(0))).isTrue();
      stewards.start(0);
      untilItServes(stewards);
      assertThat(storedState(stewards))
          .isEqualTo(
              new String(
                  fixture("data-directory-state.json").readAllBytes(), StandardCharsets.UTF_8));
      assertThat(history(stewards))
          .isEqualTo(
              new String(
                  fixture("data-directory-history.json").readAllBytes(), StandardCharsets.UTF_8));
    }
  }

  @Test
  void onTheStoredDataDirectoryARepeatedCommandGetsItsFirstAnswer() throws Exception {
    try (CoordinatorProcesses stewards =
        new CoordinatorProcesses(folder, 1, SETTINGS, (steward, raft, address) -> address)) {
      unpack(fixture("data-directory.zip"), stewards.dataDirectory(0));
      stewards.start(0);
      untilItServes(stewards);
      JsonNode before =
          JSON.readTree(call(stewards.addresses().get(0), "GET", "/fleet/state", "").body());
      JsonNode repeated =
          JSON.readTree(
              call(
                      stewards.addresses().get(0),
                      "POST",
                      "/fleet/command",
                      command("DRAIN", "op", 2, ",\"name\":\"g1\""))
                  .body());
      JsonNode operators = before.get("operators");
      assertThat(repeated).isEqualTo(operators.get(operators.size() - 1).get("answer"));
    }
  }
}
