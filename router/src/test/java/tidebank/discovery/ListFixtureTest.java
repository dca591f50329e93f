package tidebank.discovery;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import tidebank.config.Malformed;
import tidebank.fixtures.StoredCases;
import tidebank.model.Event.ServerStatus;

/** Lists of discovery are read as they were. */
class ListFixtureTest {
  private static final Map<ServerStatus, String> HEALTH =
      Map.of(
          ServerStatus.IN_SERVICE,
          "Ready",
          ServerStatus.DRAINING,
          "Terminating",
          ServerStatus.GONE,
          "Gone");

  @Test
  void listsAreReadAsStored() throws Exception {
    StoredCases.readAsStored(
        "discovery/lists.txt",
        input -> {
          try {
            ListReader.Members list = ListReader.read(new ObjectMapper().readTree(input));
            return "seq="
                + list.version()
                + " whole="
                + list.whole()
                + list.members().stream()
                    .map(
                        member ->
                            " | host="
                                + member.line().server()
                                + " block="
                                + member.line().position()
                                + " health="
                                + HEALTH.get(member.line().status())
                                + " born_us="
                                + member.line().startedAt()
                                + " share="
                                + member.line().rating()
                                + " dial="
                                + member.address())
                    .collect(Collectors.joining());
          } catch (Malformed fault) {
            return "fault: " + fault.getMessage();
          }
        });
  }
}
