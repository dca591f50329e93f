package tidebank;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tidebank.config.MalformedInputException;
import tidebank.config.OperatorConfig;
import tidebank.config.RouterConfig;

/**
 * Faulty starts, with the lines on standard error and the exit code. {@code faults.json} says for
 * each the environment, a replacement in a sound file, or the whole file, or the operator's file;
 * {@code $JSON} and {@code $TOML} stand for the two paths and {@code $PORT} for a port in use.
 * Those with an {@code exit} code run as processes, the others read their files only. To record the
 * lines anew: {@code mvn -o -pl gatherer test -Dtest=StartupFaultsFixtureTest
 * -Dfixtures.record=true}
 */
@Timeout(60)
class StartupFaultsFixtureTest {
  private static final Path FILE = Path.of("src/test/resources/fixtures/startup/faults.json");
  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  @TempDir Path folder;
  private final FakeSite site = new FakeSite();
  private ServerSocket taken;
  private Path json;
  private Path toml;

  @BeforeEach
  void begin() throws Exception {
    taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    json = folder.resolve("node.json");
    toml = folder.resolve("own.toml");
  }

  @AfterEach
  void close() throws Exception {
    taken.close();
    site.close();
  }

  private String fill(String text) {
    return text.replace("$JSON", json.toString())
        .replace("$TOML", toml.toString())
        .replace("$PORT", String.valueOf(taken.getLocalPort()));
  }

  private String withholdPaths(String text) {
    return text.replace(json.toString(), "$JSON")
        .replace(toml.toString(), "$TOML")
        .replace(":" + taken.getLocalPort(), ":$PORT");
  }

  private Map<String, String> prepare(JsonNode fault) throws Exception {
    String sound = site.configJson();
    String text =
        fault.has("json")
            ? fault.path("json").asText()
            : sound.replace(fault.path("replace").asText("\n"), fault.path("by").asText());
    assertThat(fault.has("replace") && text.equals(sound)).as("nothing replaced").isFalse();
    Files.writeString(json, fill(text));
    Files.writeString(toml, fault.path("toml").asText());
    Map<String, String> env = new HashMap<>();
    env.put("NODE_CONFIG", json.toString());
    fault
        .path("env")
        .fields()
        .forEachRemaining(e -> env.put(e.getKey(), fill(e.getValue().asText())));
    return env;
  }

  private String[] arguments(JsonNode fault) {
    if (fault.has("arguments")) {
      return fault.path("arguments").asText().split(" ");
    }
    return fault.has("toml")
        ? new String[] {"serve", "--config", toml.toString()}
        : new String[] {"serve"};
  }

  @Test
  void eachFaultIsNamedInTheseLines() throws Exception {
    ArrayNode faults = (ArrayNode) JSON.readTree(FILE.toFile());
    for (JsonNode fault : faults) {
      Map<String, String> env = prepare(fault);
      String lines = fault.has("exit") ? run(fault, env) : message(fault, env);
      if (Boolean.getBoolean("fixtures.record")) {
        ((ObjectNode) fault).put("lines", withholdPaths(lines));
      }
      assertThat(withholdPaths(lines))
          .as(fault.path("name").asText())
          .isEqualTo(fault.path("lines").asText());
    }
    if (Boolean.getBoolean("fixtures.record")) {
      Files.write(FILE, (JSON.writeValueAsString(faults) + "\n").getBytes(UTF_8));
    }
  }

  private String run(JsonNode fault, Map<String, String> env) throws Exception {
    int exit = site.startProcess(env, arguments(fault)).waitFor();
    assertThat(exit).as(fault.path("name").asText()).isEqualTo(fault.path("exit").asInt());
    List<String> lines = site.stderr.lines().filter(line -> !line.isEmpty()).toList();
    return String.join("\n", lines);
  }

  /** What the program makes of the message of the fault. */
  private String message(JsonNode fault, Map<String, String> env) {
    MalformedInputException found =
        catchThrowableOfType(
            MalformedInputException.class,
            () -> {
              if (fault.has("toml")) {
                OperatorConfig.read(toml);
              }
              RouterConfig.read(env);
            });
    assertThat(found).as(fault.path("name").asText()).isNotNull();
    return "tidebank: " + found.getMessage().replace("\n", "\ntidebank: ");
  }
}
