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
 * Guards against invalid configurations that do not prevent the start, or that are reported with
 * unclear lines on standard error or with the wrong exit code.
 *
 * <p>Each case in {@code faults.json} gives the environment, a replacement in a valid configuration
 * file or the whole file, or the operator's file. {@code $JSON} and {@code $TOML} stand for the
 * paths of the two files and {@code $PORT} for a port in use. Cases with an {@code exit} code start
 * a process; the others only read the files. To overwrite the expected lines with the current ones,
 * run {@code mvn -o -pl router test -Dtest=StartupFaultsFixtureTest -Dfixtures.record=true}.
 */
@Timeout(60)
class StartupFaultsFixtureTest {
  private static final Path CASES_FILE = Path.of("src/test/resources/fixtures/startup/faults.json");
  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  @TempDir Path folder;
  private final FakeSite site = new FakeSite();
  private ServerSocket occupiedPort;
  private Path configFile;
  private Path operatorFile;

  @BeforeEach
  void setUp() throws Exception {
    occupiedPort = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    configFile = folder.resolve("node.json");
    operatorFile = folder.resolve("own.toml");
  }

  @AfterEach
  void tearDown() throws Exception {
    occupiedPort.close();
    site.close();
  }

  private String fillPlaceholders(String text) {
    return text.replace("$JSON", configFile.toString())
        .replace("$TOML", operatorFile.toString())
        .replace("$PORT", String.valueOf(occupiedPort.getLocalPort()));
  }

  private String restorePlaceholders(String text) {
    return text.replace(configFile.toString(), "$JSON")
        .replace(operatorFile.toString(), "$TOML")
        .replace(":" + occupiedPort.getLocalPort(), ":$PORT");
  }

  private Map<String, String> writeFiles(JsonNode testCase) throws Exception {
    String valid = site.configJson();
    String text =
        testCase.has("json")
            ? testCase.path("json").asText()
            : valid.replace(testCase.path("replace").asText("\n"), testCase.path("by").asText());
    assertThat(testCase.has("replace") && text.equals(valid))
        .as("text to replace is absent")
        .isFalse();
    Files.writeString(configFile, fillPlaceholders(text));
    Files.writeString(operatorFile, testCase.path("toml").asText());
    Map<String, String> environment = new HashMap<>();
    environment.put("NODE_CONFIG", configFile.toString());
    testCase
        .path("env")
        .fields()
        .forEachRemaining(
            variable ->
                environment.put(variable.getKey(), fillPlaceholders(variable.getValue().asText())));
    return environment;
  }

  private String[] arguments(JsonNode testCase) {
    if (testCase.has("arguments")) {
      return testCase.path("arguments").asText().split(" ");
    }
    return testCase.has("toml")
        ? new String[] {"serve", "--config", operatorFile.toString()}
        : new String[] {"serve"};
  }

  /** Guards against a case with other lines or another exit code than in the fixture. */
  @Test
  void faultyStartsPrintTheLinesOfTheFixture() throws Exception {
    ArrayNode cases = (ArrayNode) JSON.readTree(CASES_FILE.toFile());
    for (JsonNode testCase : cases) {
      Map<String, String> environment = writeFiles(testCase);
      String lines =
          testCase.has("exit") ? run(testCase, environment) : readFiles(testCase, environment);
      if (Boolean.getBoolean("fixtures.record")) {
        ((ObjectNode) testCase).put("lines", restorePlaceholders(lines));
      }
      assertThat(restorePlaceholders(lines))
          .as(testCase.path("name").asText())
          .isEqualTo(testCase.path("lines").asText());
    }
    if (Boolean.getBoolean("fixtures.record")) {
      Files.write(CASES_FILE, (JSON.writeValueAsString(cases) + "\n").getBytes(UTF_8));
    }
  }

  private String run(JsonNode testCase, Map<String, String> environment) throws Exception {
    int exit = site.startProcess(environment, arguments(testCase)).waitFor();
    assertThat(exit).as(testCase.path("name").asText()).isEqualTo(testCase.path("exit").asInt());
    List<String> lines = site.stderr.lines().filter(line -> !line.isEmpty()).toList();
    return String.join("\n", lines);
  }

  /** Returns the lines that the program prints for the fault that reading the files throws. */
  private String readFiles(JsonNode testCase, Map<String, String> environment) {
    MalformedInputException fault =
        catchThrowableOfType(
            MalformedInputException.class,
            () -> {
              if (testCase.has("toml")) {
                OperatorConfig.read(operatorFile);
              }
              RouterConfig.read(environment);
            });
    assertThat(fault).as(testCase.path("name").asText()).isNotNull();
    return "tidebank: " + fault.getMessage().replace("\n", "\ntidebank: ");
  }
}
