package tidebank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tidebank.coordinator.CoordinatorClient;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.testbed.fleet.CoordinatorProcesses;

/**
 * The JSON that {@code fleet status|members|duties|history --json} prints: the set of its paths is
 * as an earlier release printed it. The fixture is written anew by {@code mvn -o -pl cli -am test
 * -Dtest=FleetJsonFixturesTest -Dsurefire.failIfNoSpecifiedTests=false -Dtests.excluded=}.
 */
@Timeout(90)
class FleetJsonFixturesTest {
  private static final Path FIXTURE =
      Path.of("src/test/resources/fixtures/control/fleet-json-paths.txt");

  @TempDir Path folder;

  private static void paths(String at, JsonNode node, SortedSet<String> into) {
    if (node.isObject()) {
      node.fields()
          .forEachRemaining(field -> paths(at + "." + field.getKey(), field.getValue(), into));
    } else if (node.isArray()) {
      node.forEach(one -> paths(at + "[]", one, into));
    } else {
      into.add(at + " " + node.getNodeType());
    }
  }

  private static String printed(String... args) {
    StringWriter out = new StringWriter();
    StringWriter err = new StringWriter();
    int status =
        Tidebank.commandLine()
            .setOut(new PrintWriter(out))
            .setErr(new PrintWriter(err))
            .execute(args);
    assertThat(status).as(err.toString()).isZero();
    return out.toString();
  }

  private SortedSet<String> allPaths() throws Exception {
    SortedSet<String> all = new TreeSet<>();
    try (CoordinatorProcesses stewards =
        new CoordinatorProcesses(
            folder,
            1,
            "[duties]\nnames = [\"report\"]\n[lease]\nms = 600000\n[election]\nms = 200\n")) {
      String at = stewards.addresses().get(0);
      CoordinatorClient client = new CoordinatorClient(stewards.addresses(), 20_000);
      while (client.state().tasks().isEmpty()) {
        Thread.onSpinWait();
      }
      client.sendCommand(LeaseCommand.of(Kind.JOIN, "a", 1, "g0"));
      client.sendCommand(new LeaseCommand(Kind.CLAIM, "a", 2, "g0", "report", 0, 0, "", null));
      // Refused, so that a member's last answer has a fault.
      client.sendCommand(LeaseCommand.of(Kind.JOIN, "b", 1, "g1"));
      client.sendCommand(new LeaseCommand(Kind.CLAIM, "b", 2, "g1", "report", 0, 0, "", null));
      for (String[] command :
          List.of(
              new String[] {"fleet", "status"},
              new String[] {"fleet", "members"},
              new String[] {"fleet", "duties"},
              new String[] {"fleet", "history", "report"})) {
        String[] args = Arrays.copyOf(command, command.length + 3);
        args[command.length] = "--stewards";
        args[command.length + 1] = at;
        args[command.length + 2] = "--json";
        paths(command[1], new ObjectMapper().readTree(printed(args)), all);
      }
    }
    return all;
  }

  @Test
  @Tag("fixture-writer")
  void writeFixture() throws Exception {
    Files.createDirectories(FIXTURE.getParent());
    Files.write(FIXTURE, allPaths());
  }

  @Test
  void theJsonOfEachCommandHasTheSamePaths() throws Exception {
    assertThat(allPaths()).containsExactlyElementsOf(Files.readAllLines(FIXTURE));
  }
}
