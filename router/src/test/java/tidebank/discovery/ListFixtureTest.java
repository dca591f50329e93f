package tidebank.discovery;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import tidebank.config.MalformedInputException;
import tidebank.fixtures.StoredCases;
import tidebank.model.Event.EndpointStatus;

/** Guards the parsing of discovery's endpoint lists against unintended changes. */
class ListFixtureTest {
  private static final Map<EndpointStatus, String> HEALTH_BY_STATUS =
      Map.of(
          EndpointStatus.IN_SERVICE,
          "Ready",
          EndpointStatus.DRAINING,
          "Terminating",
          EndpointStatus.GONE,
          "Gone");

  @Test
  void listsParseAsStored() throws Exception {
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
                        resolved ->
                            " | host="
                                + resolved.endpoint().server()
                                + " block="
                                + resolved.endpoint().position()
                                + " health="
                                + HEALTH_BY_STATUS.get(resolved.endpoint().status())
                                + " born_us="
                                + resolved.endpoint().startedAt()
                                + " share="
                                + resolved.endpoint().capacity()
                                + " dial="
                                + resolved.address())
                    .collect(Collectors.joining());
          } catch (MalformedInputException malformed) {
            return "fault: " + malformed.getMessage();
          }
        });
  }
}
