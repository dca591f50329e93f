package tidebank;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import tidebank.errors.TidebankException;
import tidebank.fixtures.StoredCases;
import tidebank.fleet.LeaseCodec;
import tidebank.fleet.LeaseJson;
import tidebank.lease.CommandResult;

/** Codes, words, advice and JSON of all conditions are what they were. */
class ErrorsFixtureTest {
  private static final List<TidebankException> SAMPLES =
      List.of(
          new TidebankException.TaskNotFound("sample-duty"),
          new TidebankException.LeaseHeldByOther("sample-duty", "n1", 1_234_567),
          new TidebankException.TaskAssignedElsewhere("sample-duty", "n1", "n2"),
          new TidebankException.TaskAssignedElsewhere("sample-duty", "", "n2"),
          new TidebankException.StaleFencingToken("sample-duty", 7, 9),
          new TidebankException.LeaseExpired("sample-duty", 7),
          new TidebankException.NameTaken("n1", 1_234_567),
          new TidebankException.MemberUnknown("n1"),
          new TidebankException.MemberRetired("n1"),
          new TidebankException.MemberLimitReached(64),
          new TidebankException.StaleSequenceNumber("session-1", 3, 4),
          new TidebankException.RevisionConflict("sample-duty", 3, 4),
          new TidebankException.ValueTooLarge("value", 5000, 4096),
          new TidebankException.InvalidName("../n1"),
          new TidebankException.FleetFolderUnusable("/folder", "it is \"full\""),
          new TidebankException.MemberNotFound("n1"),
          new TidebankException.NotLeading("c1", "c2"),
          new TidebankException.NotLeading("c1", ""),
          new TidebankException.NoMajority("no answer"),
          new TidebankException.LeaderChanged(3, 4),
          new TidebankException.MalformedRequest("field 'kind' names no command"),
          new TidebankException.PathUnknown("GET", "/nothing"),
          new TidebankException.CoordinatorUnavailable("127.0.0.1:7200"),
          new TidebankException.CorruptSnapshot("snapshot.1_2", "too short"),
          new TidebankException.DataDirectoryUnusable("/folder", "read only"),
          new TidebankException.AddressTaken("127.0.0.1:7200", "in use"),
          new TidebankException.ScriptUnknown("x", List.of("a", "b")),
          new TidebankException.RunUnknown("/folder"));

  @Test
  void thereIsASampleOfEachCondition() {
    assertThat(SAMPLES.stream().map(fault -> fault.details().code()).distinct().toList())
        .containsExactlyInAnyOrderElementsOf(
            TidebankException.entries().stream().map(TidebankException.Entry::code).toList());
  }

  @Test
  void textsForPeopleAreTheStoredOnes() throws Exception {
    StoredCases.isText(
        "errors/lines.txt",
        SAMPLES.stream()
            .map(fault -> fault.details().lines() + "\n")
            .collect(Collectors.joining()));
  }

  @Test
  void jsonIsTheStoredOneAndIsReadBack() throws Exception {
    ObjectMapper mapper = LeaseJson.configure(new ObjectMapper());
    StringBuilder text = new StringBuilder();
    for (TidebankException fault : SAMPLES) {
      String json = mapper.writeValueAsString(fault.details());
      assertThat(mapper.readValue(json, TidebankException.Details.class))
          .isEqualTo(fault.details());
      text.append(json).append('\n');
    }
    StoredCases.isText("errors/details.jsonl", text.toString());
  }

  @Test
  void answersOfTheControlProcessCarryTheStoredJson() throws Exception {
    StringBuilder text = new StringBuilder();
    for (TidebankException fault : SAMPLES) {
      byte[] json = LeaseCodec.write(new CommandResult(fault.details(), null, null, null, 0));
      TidebankException.Details read = LeaseCodec.read(json, CommandResult.class).error();
      assertThat(read).isEqualTo(fault.details());
      assertThat(read.is(fault.getClass())).isTrue();
      assertThat(new TidebankException.RequestRejected(read).details()).isEqualTo(read);
      text.append(new String(json, UTF_8)).append('\n');
    }
    StoredCases.isText("errors/answers.jsonl", text.toString());
  }
}
