package tidebank;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import tidebank.errors.CoordinatorException;
import tidebank.errors.ErrorCondition;
import tidebank.errors.MembershipException;
import tidebank.errors.StorageException;
import tidebank.errors.TestbedException;
import tidebank.errors.TidebankException;
import tidebank.fixtures.StoredCases;
import tidebank.fleet.LeaseCodec;
import tidebank.fleet.LeaseJson;
import tidebank.lease.CommandResult;

/** Codes, words, advice and JSON of all conditions are what they were. */
class ErrorsFixtureTest {
  private static final List<TidebankException> SAMPLES =
      List.of(
          new MembershipException.TaskNotFound("sample-duty"),
          new MembershipException.LeaseHeldByOther("sample-duty", "n1", 1_234_567),
          new MembershipException.TaskAssignedElsewhere("sample-duty", "n1", "n2"),
          new MembershipException.TaskAssignedElsewhere("sample-duty", "", "n2"),
          new MembershipException.StaleFencingToken("sample-duty", 7, 9),
          new MembershipException.LeaseExpired("sample-duty", 7),
          new MembershipException.NameTaken("n1", 1_234_567),
          new MembershipException.MemberUnknown("n1"),
          new MembershipException.MemberRetired("n1"),
          new MembershipException.MemberLimitReached(64),
          new MembershipException.StaleSequenceNumber("session-1", 3, 4),
          new MembershipException.RevisionConflict("sample-duty", 3, 4),
          new MembershipException.ValueTooLarge("value", 5000, 4096),
          new MembershipException.InvalidName("../n1"),
          new StorageException.FleetFolderUnusable("/folder", "it is \"full\""),
          new MembershipException.MemberNotFound("n1"),
          new CoordinatorException.NotLeading("c1", "c2"),
          new CoordinatorException.NotLeading("c1", ""),
          new CoordinatorException.NoMajority("no answer"),
          new CoordinatorException.LeaderChanged(3, 4),
          new CoordinatorException.MalformedRequest("field 'kind' names no command"),
          new CoordinatorException.PathUnknown("GET", "/nothing"),
          new CoordinatorException.CoordinatorUnavailable("127.0.0.1:7200"),
          new StorageException.CorruptSnapshot("snapshot.1_2", "too short"),
          new StorageException.DataDirectoryUnusable("/folder", "read only"),
          new CoordinatorException.AddressTaken("127.0.0.1:7200", "in use"),
          new TestbedException.ScriptUnknown("x", List.of("a", "b")),
          new TestbedException.RunUnknown("/folder"));

  @Test
  void thereIsASampleOfEachCondition() {
    assertThat(SAMPLES.stream().map(fault -> fault.details().code()).distinct().toList())
        .containsExactlyInAnyOrderElementsOf(
            TidebankException.conditions().stream().map(ErrorCondition::code).toList());
  }

  @Test
  void textsForPeopleAreTheStoredOnes() throws Exception {
    StoredCases.assertMatchesFile(
        "errors/lines.txt",
        SAMPLES.stream()
            .map(fault -> fault.details().toText() + "\n")
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
    StoredCases.assertMatchesFile("errors/details.jsonl", text.toString());
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
    StoredCases.assertMatchesFile("errors/answers.jsonl", text.toString());
  }
}
