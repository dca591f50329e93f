package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import tidebank.config.MalformedInputException;
import tidebank.config.RouterConfig;

class RouterConfigTest {
  private final FakeSite site = new FakeSite();

  @AfterEach
  void close() throws Exception {
    site.close();
  }

  private RouterConfig read(String text, Map<String, String> env) throws Exception {
    Path file = Files.createTempFile("gatherer", ".json");
    try {
      Files.writeString(file, text);
      Map<String, String> all = new java.util.HashMap<>(env);
      all.put("NODE_CONFIG", file.toString());
      return RouterConfig.read(all);
    } finally {
      Files.delete(file);
    }
  }

  @Test
  void variablesGoBeforeTheFileAndUnknownKeysAreIgnored() throws Exception {
    site.file.put("unheard_of", 1);
    RouterConfig config =
        read(site.config(), Map.of("NODE_NAME", "n9", "NODE_LISTEN", "127.0.0.2:80"));
    assertThat(config.name()).isEqualTo("n9");
    assertThat(config.listen().toString()).isEqualTo("/127.0.0.2:80");
    assertThat(config.seed()).isEqualTo(0x8c1f30d27a5be964L);
    assertThat(config.transport().connectTimeoutUs()).isEqualTo(200_000);
    assertThat(config.settings().queryClasses()).containsOnlyKeys("whole", "part", "once");
  }

  @Test
  void aFaultNamesTheKeyWhatWasFoundAndWhatIsWanted() {
    String sound = site.config();
    String[][] faults = {
      {sound, "", "NODE_CONFIG: found .*, wanted a file that holds a JSON object"},
      {"'name':'n0'", "'name':''", "NODE_NAME or name: found nothing, wanted a text"},
      {
        "'listen':'127.0.0.1:0'",
        "'listen':'here:80'",
        "NODE_LISTEN or listen: found here:80, wanted an address.*"
      },
      {
        "'listen':'127.0.0.1:0'",
        "'listen':'1.2.3.4'",
        "NODE_LISTEN or listen: found 1.2.3.4, wanted an address.*"
      },
      {"'seed':'8c1f", "'seed':'xyz", "seed: found \"xyz.*, wanted 16 hex digits"},
      {
        "'sockets':1024",
        "'memory_mb':16",
        "limits.memory_mb: found 16, wanted a whole number from 80"
      },
      {
        "'sockets':1024", "'sockets':-3", "limits.sockets: found -3, wanted a whole number from 128"
      },
      {"'settings':{", "'settings':7,'x':{", "settings: found 7, wanted an object"},
      {
        "'services':[",
        "'services':[],'x':[",
        "settings.services: found none, wanted a list of table types"
      },
      {"'slices':4", "'slices':0", "settings.specifics: found .*, wanted slices.*"},
      {
        "'connectTimeoutMs':200",
        "'connectTimeoutMs':'soon'",
        "settings: field 'connectTimeoutMs': found \"soon\", wanted a number"
      },
      {
        "'onTimeMs':1000",
        "'onTimeMs':-1",
        "settings: field 'onTimeMs': found -1, wanted a number from 0"
      },
      {"'name':'whole'", "'name':3", "settings: field 'name': found 3, wanted a text"}
    };
    for (String[] fault : faults) {
      String text = sound.replace(fault[0].replace('\'', '"'), fault[1].replace('\'', '"'));
      assertThat(text).isNotEqualTo(sound);
      assertThatThrownBy(() -> read(text, Map.of()))
          .isInstanceOf(MalformedInputException.class)
          .message()
          .matches(fault[2]);
    }
    assertThatThrownBy(() -> RouterConfig.read(Map.of()))
        .hasMessage("NODE_CONFIG: found nothing, wanted the path of a JSON file");
  }
}
