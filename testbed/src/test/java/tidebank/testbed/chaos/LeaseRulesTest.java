package tidebank.testbed.chaos;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import tidebank.errors.MembershipException;
import tidebank.errors.TidebankException;
import tidebank.lease.CommandResult;
import tidebank.lease.CommandResult.Grant;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.lease.LeaseConfig;
import tidebank.lease.LeaseTableState;
import tidebank.lease.TaskLease;
import tidebank.testbed.chaos.History.RecordedCommand;

/**
 * Checks a valid history of a task and histories with one injected violation each. Times are in
 * milliseconds; the lease duration is 1000 ms.
 */
class LeaseRulesTest {
  private static final LeaseConfig CONFIG = new LeaseConfig(1_000_000, 0.05, 100, 100);
  private static final String TASK = "report";

  private final List<RecordedCommand> commands = new ArrayList<>();
  private int lastSequence;

  private void addCommand(
      long callMs,
      long returnMs,
      Kind kind,
      String member,
      long token,
      long revision,
      TidebankException error,
      Grant grant,
      long resultRevision) {
    LeaseCommand command =
        new LeaseCommand(
            kind,
            member,
            ++lastSequence,
            member,
            kind == Kind.RENEW ? "" : TASK,
            token,
            revision,
            member + revision,
            null);
    CommandResult result =
        new CommandResult(
            error == null ? null : error.details(),
            grant == null ? List.of() : List.of(grant),
            List.of(),
            CONFIG,
            resultRevision);
    commands.add(new RecordedCommand(member, command, callMs * 1000, returnMs * 1000, result, 1));
  }

  private void claim(long callMs, long returnMs, String member, long token) {
    addCommand(callMs, returnMs, Kind.CLAIM, member, 0, 0, null, new Grant(TASK, token), 0);
  }

  private void renew(long callMs, long returnMs, String member, long token) {
    addCommand(
        callMs,
        returnMs,
        Kind.RENEW,
        member,
        0,
        0,
        null,
        token == 0 ? null : new Grant(TASK, token),
        0);
  }

  private void publish(long callMs, long returnMs, String member, long token, long revision) {
    addCommand(
        callMs,
        returnMs,
        Kind.PUBLISH,
        member,
        token,
        revision,
        null,
        new Grant(TASK, token),
        revision + 1);
  }

  private void publishRejected(
      long callMs,
      long returnMs,
      String member,
      long token,
      long revision,
      TidebankException error) {
    addCommand(callMs, returnMs, Kind.PUBLISH, member, token, revision, error, null, 0);
  }

  private boolean isLinearizable() {
    return LinearizabilityChecker.check(
            LeaseRules.operationsOn(commands, List.of(), TASK), LeaseRules.TaskState.INITIAL)
        .holds();
  }

  private List<String> findOverlappingGrants() {
    return LeaseRules.findOverlappingGrants(commands, TASK, CONFIG);
  }

  /**
   * Adds a valid history: member a publishes, renews its lease and lets it expire, and member b is
   * granted the task and publishes. The next publication of a is rejected because of its stale
   * token, and its next renewal returns no lease.
   */
  private void addValidHistory() {
    claim(0, 10, "a", 1);
    publish(20, 30, "a", 1, 0);
    renew(300, 310, "a", 1);
    claim(1300, 1310, "b", 2);
    publish(1320, 1330, "b", 2, 1);
    publishRejected(1400, 1410, "a", 1, 1, new MembershipException.StaleFencingToken(TASK, 1, 2));
    renew(1500, 1510, "a", 0);
  }

  /** Guards against violations reported for a valid history. */
  @Test
  void validHistoryHasNoViolation() {
    addValidHistory();
    assertThat(isLinearizable()).isTrue();
    assertThat(findOverlappingGrants()).isEmpty();
  }

  /**
   * Guards against an undetected publication of the previous holder after the next one published.
   */
  @Test
  void publicationWithStaleTokenIsFound() {
    addValidHistory();
    publish(1600, 1610, "a", 1, 2);
    assertThat(isLinearizable()).isFalse();
  }

  /** Guards against an undetected second grant with the same fencing token. */
  @Test
  void fencingTokenGrantedTwiceIsFound() {
    addValidHistory();
    claim(2600, 2610, "c", 2);
    assertThat(isLinearizable()).isFalse();
  }

  /** Guards against an undetected publication that was based on an outdated revision. */
  @Test
  void overwrittenRevisionIsFound() {
    addValidHistory();
    publish(1600, 1610, "b", 2, 1);
    assertThat(isLinearizable()).isFalse();
  }

  /**
   * Guards against an undetected renewal that confirms a lease after another member got the task.
   */
  @Test
  void renewalOfReplacedHolderIsFound() {
    addValidHistory();
    renew(1600, 1610, "a", 1);
    assertThat(isLinearizable()).isFalse();
  }

  /**
   * Guards against intervals that start at a fault of a member that does not hold the task, or at
   * an event that is no fault.
   */
  @Test
  void unownedIntervalLastsFromHolderFaultToNextGrant() {
    addValidHistory();
    List<History.TimelineEvent> events =
        List.of(
            new History.TimelineEvent(200_000, "b", "kill other"),
            new History.TimelineEvent(310_000, "a", "stop owner as x"),
            new History.TimelineEvent(320_000, "a", "scans 2"),
            new History.TimelineEvent(1_400_000, "b", "link b to stewards: cut"));
    assertThat(UnownedIntervals.measure(events, commands, TASK))
        .isEqualTo(Map.of("stop", List.of(1_000_000L)));
    assertThat(UnownedIntervals.describe(Map.of("stop", List.of(9000L, 1000L, 5000L))))
        .isEqualTo("stop: 3 intervals, median 5 ms, maximum 9 ms");
  }

  /** Guards against an undetected rejection of a current fencing token as stale. */
  @Test
  void unjustifiedRejectionIsFound() {
    claim(0, 10, "a", 1);
    publishRejected(20, 30, "a", 1, 0, new MembershipException.StaleFencingToken(TASK, 1, 1));
    assertThat(isLinearizable()).isFalse();
  }

  /**
   * Guards against an undetected grant while the previous holder may consider its lease valid, and
   * against a false violation after a release.
   */
  @Test
  void grantBeforeLeaseExpiryIsFoundUnlessReleased() {
    claim(0, 10, "a", 1);
    renew(300, 310, "a", 1);
    claim(1200, 1210, "b", 2);
    assertThat(isLinearizable()).isTrue();
    assertThat(findOverlappingGrants())
        .singleElement()
        .asString()
        .contains("token 2 of b")
        .contains("valid until 1252 ms");
    commands.add(
        1,
        new RecordedCommand(
            "a",
            new LeaseCommand(Kind.RELEASE, "a", 99, "a", TASK, 1, 0, "", null),
            1_100_000,
            Long.MAX_VALUE,
            null,
            1));
    assertThat(findOverlappingGrants()).isEmpty();
  }

  /** Guards against an undetected read that returns a state from before its call. */
  @Test
  void readOfOutdatedStateIsFound() {
    addValidHistory();
    TaskLease lease = new TaskLease(TASK, 1, "a", "a", 0, "a", "", 1, 1, "a0");
    LeaseTableState state =
        new LeaseTableState(CONFIG, 1, 0, 0, List.of(), List.of(lease), List.of());
    assertThat(
            LinearizabilityChecker.check(
                    LeaseRules.operationsOn(
                        commands,
                        List.of(new History.RecordedRead("o", 1_000_000, 1_100_000, state)),
                        TASK),
                    LeaseRules.TaskState.INITIAL)
                .holds())
        .isTrue();
    assertThat(
            LinearizabilityChecker.check(
                    LeaseRules.operationsOn(
                        commands,
                        List.of(new History.RecordedRead("o", 1_340_000, 1_390_000, state)),
                        TASK),
                    LeaseRules.TaskState.INITIAL)
                .holds())
        .as("read after the next publication")
        .isFalse();
  }

  /**
   * Guards against undetected conflicting results of two copies of a command, and against false
   * violations for errors that only late copies get.
   */
  @Test
  void conflictingResultsOfOneCommandAreFound() {
    History history = new History();
    LeaseCommand command = new LeaseCommand(Kind.CLAIM, "a", 1, "a", TASK, 0, 0, "", null);
    history.recordSentCommand("a", command);
    history.recordSentCommand("a", command);
    CommandResult first =
        new CommandResult(null, List.of(new Grant(TASK, 1)), List.of(), CONFIG, 0);
    history.recordResult(command, first);
    history.recordResult(command, first);
    history.recordResult(
        command,
        new CommandResult(
            new MembershipException.StaleSequenceNumber("a", 1, 2).details(),
            List.of(),
            List.of(),
            CONFIG,
            0));
    assertThat(history.violations()).isEmpty();
    assertThat(history.commands()).singleElement().matches(recorded -> recorded.copies() == 2);
    history.recordResult(
        command, new CommandResult(null, List.of(new Grant(TASK, 2)), List.of(), CONFIG, 0));
    assertThat(history.violations())
        .singleElement()
        .asString()
        .contains("two different results of");
  }
}
