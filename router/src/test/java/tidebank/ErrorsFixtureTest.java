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

/**
 * Guards against unintended changes of the codes, messages, advice and JSON of error conditions,
 * which operators and other processes read. The fixtures hold the expected output of each sample.
 */
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
          new CoordinatorException.ReplicaClosed("c1", "its state is CLOSED"),
          new TestbedException.ScriptUnknown("x", List.of("a", "b")),
          new TestbedException.RunUnknown("/folder"));

  /** Guards against a new condition without a sample, which the other tests would not cover. */
  @Test
  void samplesCoverEveryCondition() {
    assertThat(SAMPLES.stream().map(error -> error.details().code()).distinct().toList())
        .containsExactlyInAnyOrderElementsOf(
            TidebankException.conditions().stream().map(ErrorCondition::code).toList());
  }

  /** Guards against changes of the texts that the command line and the logs show. */
  @Test
  void textsForOperatorsMatchTheFixture() throws Exception {
    StoredCases.assertMatchesFile(
        "errors/lines.txt",
        SAMPLES.stream()
            .map(error -> error.details().toText() + "\n")
            .collect(Collectors.joining()));
  }

  /** Guards against JSON that another release could not read. */
  @Test
  void jsonMatchesTheFixtureAndReadsBackEqual() throws Exception {
    ObjectMapper mapper = LeaseJson.configure(new ObjectMapper());
    StringBuilder text = new StringBuilder();
    for (TidebankException error : SAMPLES) {
      String json = mapper.writeValueAsString(error.details());
      assertThat(mapper.readValue(json, TidebankException.Details.class))
          .isEqualTo(error.details());
      text.append(json).append('\n');
    }
    StoredCases.assertMatchesFile("errors/details.jsonl", text.toString());
  }

  /** Guards against a coordinator response with an error that the receiver does not recognize. */
  @Test
  void commandResultsMatchTheFixtureAndReadBackEqual() throws Exception {
    StringBuilder text = new StringBuilder();
    for (TidebankException error : SAMPLES) {
      byte[] json = LeaseCodec.write(new CommandResult(error.details(), null, null, null, 0));
      TidebankException.Details read = LeaseCodec.read(json, CommandResult.class).error();
      assertThat(read).isEqualTo(error.details());
      assertThat(read.is(error.getClass())).isTrue();
      assertThat(new TidebankException.RequestRejected(read).details()).isEqualTo(read);
      text.append(new String(json, UTF_8)).append('\n');
    }
    StoredCases.assertMatchesFile("errors/answers.jsonl", text.toString());
  }
}
