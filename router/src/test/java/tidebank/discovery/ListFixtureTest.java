package tidebank.discovery;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import tidebank.config.MalformedInputException;
import tidebank.fixtures.StoredCases;
import tidebank.model.Event.EndpointStatus;

/** Lists of discovery are read as they were. */
class ListFixtureTest {
  private static final Map<EndpointStatus, String> HEALTH =
      Map.of(
          EndpointStatus.IN_SERVICE,
          "Ready",
          EndpointStatus.DRAINING,
          "Terminating",
          EndpointStatus.GONE,
          "Gone");

  @Test
  void listsAreReadAsStored() throws Exception {
    StoredCases.assertParsedAsStored(
        "discovery/lists.txt",
        input -> {
          try {
            EndpointListParser.EndpointList list =
                EndpointListParser.parse(new ObjectMapper().readTree(input));
            return "seq="
                + list.version()
                + " whole="
                + list.complete()
                + list.endpoints().stream()
                    .map(
                        member ->
                            " | host="
                                + member.endpoint().server()
                                + " block="
                                + member.endpoint().position()
                                + " health="
                                + HEALTH.get(member.endpoint().status())
                                + " born_us="
                                + member.endpoint().startedAt()
                                + " share="
                                + member.endpoint().capacity()
                                + " dial="
                                + member.address())
                    .collect(Collectors.joining());
          } catch (MalformedInputException fault) {
            return "fault: " + fault.getMessage();
          }
        });
  }
}
