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

/** The platform's configuration: what takes precedence, and what faults are called. */
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

  @Test
  void variablesTakePrecedenceOverTheFile() throws Exception {
    RouterConfig config =
        read(site.configJson(), Map.of("NODE_NAME", "n9", "NODE_LISTEN", "127.0.0.2:80"));

    assertThat(config.name()).isEqualTo("n9");
    assertThat(config.listen().toString()).isEqualTo("/127.0.0.2:80");
  }

  @Test
  void valuesOfTheFileAreRead() throws Exception {
    RouterConfig config = read(site.configJson(), Map.of());

    assertThat(config.seed()).isEqualTo(0x8c1f30d27a5be964L);
    assertThat(config.transport().connectTimeoutUs()).isEqualTo(200_000);
    assertThat(config.settings().queryClasses()).containsOnlyKeys("whole", "part", "once");
  }

  @Test
  void unknownKeysAreIgnored() throws Exception {
    RouterConfig without = read(site.configJson(), Map.of());
    site.configFields.put("unheard_of", 1);

    assertThat(read(site.configJson(), Map.of())).isEqualTo(without);
  }

  @Test
  void anEmptyFileIsAFault() {
    assertThatThrownBy(() -> read("", Map.of()))
        .isInstanceOf(MalformedInputException.class)
        .message()
        .matches("NODE_CONFIG: found .*, wanted a file that holds a JSON object");
  }

  @Test
  void aMissingVariableIsAFault() {
    assertThatThrownBy(() -> RouterConfig.read(Map.of()))
        .hasMessage("NODE_CONFIG: found nothing, wanted the path of a JSON file");
  }

  /**
   * A text of a valid file, its replacement, with single quotes for double ones, and the message.
   */
  private static Stream<Arguments> faults() {
    return Stream.of(
        Arguments.of("'name':'n0'", "'name':''", "NODE_NAME or name: found nothing, wanted a text"),
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
            "limits.memory_mb: found 16, wanted a whole number from 80"),
        Arguments.of(
            "'sockets':1024",
            "'sockets':-3",
            "limits.sockets: found -3, wanted a whole number from 128"),
        Arguments.of("'settings':{", "'settings':7,'x':{", "settings: found 7, wanted an object"),
        Arguments.of(
            "'services':[",
            "'services':[],'x':[",
            "settings.services: found none, wanted a list of table types"),
        Arguments.of("'slices':4", "'slices':0", "settings.specifics: found .*, wanted slices.*"),
        Arguments.of(
            "'connectTimeoutMs':200",
            "'connectTimeoutMs':'soon'",
            "settings: field 'connectTimeoutMs': found \"soon\", wanted a number"),
        Arguments.of(
            "'onTimeMs':1000",
            "'onTimeMs':-1",
            "settings: field 'onTimeMs': found -1, wanted a number from 0"),
        Arguments.of(
            "'name':'whole'", "'name':3", "settings: field 'name': found 3, wanted a text"));
  }

  @ParameterizedTest(name = "{0} replaced by {1}")
  @MethodSource("faults")
  void aFaultNamesTheKeyWhatWasFoundAndWhatIsWanted(
      String replaced, String replacement, String message) {
    String valid = site.configJson();
    String invalid = valid.replace(quoted(replaced), quoted(replacement));

    assertThat(invalid).isNotEqualTo(valid);
    assertThatThrownBy(() -> read(invalid, Map.of()))
        .isInstanceOf(MalformedInputException.class)
        .message()
        .matches(message);
  }

  private static String quoted(String text) {
    return text.replace('\'', '"');
  }
}
