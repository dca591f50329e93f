package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import tidebank.config.MalformedInputException;
import tidebank.config.RouterConfig;

/** Tests the platform's configuration: precedence of its sources and messages for faults. */
class RouterConfigTest {
  @TempDir Path folder;
  private final FakeSite site = new FakeSite();

  @AfterEach
  void closeSite() throws Exception {
    site.close();
  }

  private RouterConfig read(String text, Map<String, String> environment) throws Exception {
    Path file = Files.writeString(folder.resolve("node.json"), text);
    Map<String, String> withFile = new HashMap<>(environment);
    withFile.put("NODE_CONFIG", file.toString());
    return RouterConfig.read(withFile);
  }

  /** Guards against a file that overrides the environment, which the platform sets per router. */
  @Test
  void variablesTakePrecedenceOverTheFile() throws Exception {
    RouterConfig config =
        read(site.configJson(), Map.of("NODE_NAME", "n9", "NODE_LISTEN", "127.0.0.2:80"));

    assertThat(config.name()).isEqualTo("n9");
    assertThat(config.listen().toString()).isEqualTo("/127.0.0.2:80");
  }

  /** Guards against values of the file that are ignored or converted to the wrong unit. */
  @Test
  void valuesAreReadFromTheFile() throws Exception {
    RouterConfig config = read(site.configJson(), Map.of());

    assertThat(config.seed()).isEqualTo(0x8c1f30d27a5be964L);
    assertThat(config.transport().connectTimeoutUs()).isEqualTo(200_000);
    assertThat(config.settings().queryClasses()).containsOnlyKeys("whole", "part", "once");
  }

  /** Guards against a router that does not start after the platform has added a key. */
  @Test
  void unknownKeysAreIgnored() throws Exception {
    RouterConfig without = read(site.configJson(), Map.of());
    site.configFields.put("unheard_of", 1);

    assertThat(read(site.configJson(), Map.of())).isEqualTo(without);
  }

  /** Guards against an empty file that is accepted, or reported without its variable. */
  @Test
  void emptyFileIsRejected() {
    assertThatThrownBy(() -> read("", Map.of()))
        .isInstanceOf(MalformedInputException.class)
        .message()
        .matches("NODE_CONFIG: found .*, wanted a file that holds a JSON object");
  }

  /** Guards against a start without a configuration file. */
  @Test
  void missingNodeConfigIsRejected() {
    assertThatThrownBy(() -> RouterConfig.read(Map.of()))
        .hasMessage("NODE_CONFIG: found nothing, wanted the path of a JSON file");
  }

  /**
   * Returns cases of a text in a valid file, its replacement, and a pattern that the message has to
   * match. Single quotes in the texts stand for double quotes.
   */
  private static Stream<Arguments> invalidValues() {
    return Stream.of(
        Arguments.of(
            "'name':'n0'", "'name':''", "NODE_NAME or name: found nothing, wanted a string"),
        Arguments.of(
            "'listen':'127.0.0.1:0'",
            "'listen':'here:80'",
            "NODE_LISTEN or listen: found here:80, wanted an address.*"),
        Arguments.of(
            "'listen':'127.0.0.1:0'",
            "'listen':'1.2.3.4'",
            "NODE_LISTEN or listen: found 1.2.3.4, wanted an address.*"),
        Arguments.of("'seed':'8c1f", "'seed':'xyz", "seed: found \"xyz.*, wanted 16 hex digits"),
        Arguments.of(
            "'sockets':1024",
            "'memory_mb':16",
            "limits.memory_mb: found 16, wanted a whole number of at least 80"),
        Arguments.of(
            "'sockets':1024",
            "'sockets':-3",
            "limits.sockets: found -3, wanted a whole number of at least 128"),
        Arguments.of("'settings':{", "'settings':7,'x':{", "settings: found 7, wanted an object"),
        Arguments.of(
            "'services':[",
            "'services':[],'x':[",
            "settings.services: found none, wanted a list of query classes"),
        Arguments.of("'slices':4", "'slices':0", "settings.specifics: found .*, wanted slices.*"),
        Arguments.of(
            "'connectTimeoutMs':200",
            "'connectTimeoutMs':'soon'",
            "settings: field 'connectTimeoutMs': found \"soon\", wanted a number"),
        Arguments.of(
            "'onTimeMs':1000",
            "'onTimeMs':-1",
            "settings: field 'onTimeMs': found -1, wanted a number of at least 0"),
        Arguments.of(
            "'name':'whole'", "'name':3", "settings: field 'name': found 3, wanted a string"));
  }

  /** Guards against invalid values that are accepted or reported with an unclear message. */
  @ParameterizedTest(name = "{0} replaced by {1}")
  @MethodSource("invalidValues")
  void invalidValueIsReportedWithKeyAndExpectedValue(
      String replaced, String replacement, String message) {
    String valid = site.configJson();
    String invalid = valid.replace(withDoubleQuotes(replaced), withDoubleQuotes(replacement));

    assertThat(invalid).isNotEqualTo(valid);
    assertThatThrownBy(() -> read(invalid, Map.of()))
        .isInstanceOf(MalformedInputException.class)
        .message()
        .matches(message);
  }

  private static String withDoubleQuotes(String text) {
    return text.replace('\'', '"');
  }
}
