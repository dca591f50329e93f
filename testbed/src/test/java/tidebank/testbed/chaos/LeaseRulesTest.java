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
 * Histories of a duty, a good one and ones with a planted fault each. Times in milliseconds; the
 * lease lasts a second.
 */
class LeaseRulesTest {
  private static final LeaseConfig TERMS = new LeaseConfig(1_000_000, 0.05, 100, 100);
  private static final String DUTY = "report";

  private final List<RecordedCommand> asked = new ArrayList<>();
  private int number;

  private void add(
      long call,
      long back,
      Kind kind,
      String who,
      long token,
      long revision,
      TidebankException fault,
      Grant grant,
      long now) {
    LeaseCommand command =
        new LeaseCommand(
            kind,
            who,
            ++number,
            who,
            kind == Kind.RENEW ? "" : DUTY,
            token,
            revision,
            who + revision,
            null);
    CommandResult answer =
        new CommandResult(
            fault == null ? null : fault.details(),
            grant == null ? List.of() : List.of(grant),
            List.of(),
            TERMS,
            now);
    asked.add(new RecordedCommand(who, command, call * 1000, back * 1000, answer, 1));
  }

  private void claim(long call, long back, String who, long token) {
    add(call, back, Kind.CLAIM, who, 0, 0, null, new Grant(DUTY, token), 0);
  }

  private void renew(long call, long back, String who, long token) {
    add(call, back, Kind.RENEW, who, 0, 0, null, token == 0 ? null : new Grant(DUTY, token), 0);
  }

  private void publish(long call, long back, String who, long token, long revision) {
    add(call, back, Kind.PUBLISH, who, token, revision, null, new Grant(DUTY, token), revision + 1);
  }

  private void refused(
      long call, long back, String who, long token, long revision, TidebankException fault) {
    add(call, back, Kind.PUBLISH, who, token, revision, fault, null, 0);
  }

  private boolean linear() {
    return LinearizabilityChecker.check(
            LeaseRules.operationsOn(asked, List.of(), DUTY), LeaseRules.TaskState.INITIAL)
        .holds();
  }

  private List<String> early() {
    return LeaseRules.findOverlappingGrants(asked, DUTY, TERMS);
  }

  /**
   * An owner renews, falls silent, and is told that its token is old once a successor is at work.
   */
  private void good() {
    claim(0, 10, "a", 1);
    publish(20, 30, "a", 1, 0);
    renew(300, 310, "a", 1);
    claim(1300, 1310, "b", 2);
    publish(1320, 1330, "b", 2, 1);
    refused(1400, 1410, "a", 1, 1, new MembershipException.StaleFencingToken(DUTY, 1, 2));
    renew(1500, 1510, "a", 0);
  }

  @Test
  void aGoodOneHolds() {
    good();
    assertThat(linear()).isTrue();
    assertThat(early()).isEmpty();
  }

  @Test
  void anOldTokenThatPublishesIsFound() {
    good();
    publish(1600, 1610, "a", 1, 2);
    assertThat(linear()).isFalse();
  }

  @Test
  void aTokenGrantedTwiceIsFound() {
    good();
    claim(2600, 2610, "c", 2);
    assertThat(linear()).isFalse();
  }

  @Test
  void aRevisionOverwrittenIsFound() {
    good();
    publish(1600, 1610, "b", 2, 1);
    assertThat(linear()).isFalse();
  }

  @Test
  void anOwnerToldThatItStillOwnsAfterItsSuccessorDoesIsFound() {
    good();
    renew(1600, 1610, "a", 1);
    assertThat(linear()).isFalse();
  }

  @Test
  void aGapLastsFromAnOwnersLossToTheNextGrantAndALossOfAnotherIsNone() {
    good();
    List<History.TimelineEvent> events =
        List.of(
            new History.TimelineEvent(200_000, "b", "kill other"),
            new History.TimelineEvent(310_000, "a", "stop owner as x"),
            new History.TimelineEvent(320_000, "a", "scans 2"),
            new History.TimelineEvent(1_400_000, "b", "link b to stewards: cut"));
    assertThat(UnownedIntervals.measure(events, asked, DUTY))
        .isEqualTo(Map.of("stop", List.of(1_000_000L)));
    assertThat(UnownedIntervals.describe(Map.of("stop", List.of(9000L, 1000L, 5000L))))
        .isEqualTo("stop 3: median 5 ms, most 9 ms");
  }

  @Test
  void aRefusalWithoutAReasonIsFound() {
    claim(0, 10, "a", 1);
    refused(20, 30, "a", 1, 0, new MembershipException.StaleFencingToken(DUTY, 1, 1));
    assertThat(linear()).isFalse();
  }

  @Test
  void aGrantBeforeTheLastLeaseCanBeOverIsFoundUnlessItsOwnerLetGo() {
    claim(0, 10, "a", 1);
    renew(300, 310, "a", 1);
    claim(1200, 1210, "b", 2);
    assertThat(linear()).isTrue();
    assertThat(early())
        .singleElement()
        .asString()
        .contains("token 2 of b")
        .contains("lasts to 1252 ms");
    asked.add(
        1,
        new RecordedCommand(
            "a",
            new LeaseCommand(Kind.RELEASE, "a", 99, "a", DUTY, 1, 0, "", null),
            1_100_000,
            Long.MAX_VALUE,
            null,
            1));
    assertThat(early()).isEmpty();
  }

  @Test
  void whatAReaderIsToldMustHaveBeenSoThen() {
    good();
    TaskLease cell = new TaskLease(DUTY, 1, "a", "a", 0, "a", "", 1, 1, "a0");
    LeaseTableState state =
        new LeaseTableState(TERMS, 1, 0, 0, List.of(), List.of(cell), List.of());
    assertThat(
            LinearizabilityChecker.check(
                    LeaseRules.operationsOn(
                        asked,
                        List.of(new History.RecordedRead("o", 1_000_000, 1_100_000, state)),
                        DUTY),
                    LeaseRules.TaskState.INITIAL)
                .holds())
        .isTrue();
    assertThat(
            LinearizabilityChecker.check(
                    LeaseRules.operationsOn(
                        asked,
                        List.of(new History.RecordedRead("o", 1_340_000, 1_390_000, state)),
                        DUTY),
                    LeaseRules.TaskState.INITIAL)
                .holds())
        .as("read after the next one's first")
        .isFalse();
  }

  @Test
  void twoAnswersToOneCommandAreFoundAndALateCopyIsNone() {
    History history = new History();
    LeaseCommand command = new LeaseCommand(Kind.CLAIM, "a", 1, "a", DUTY, 0, 0, "", null);
    history.recordSentCommand("a", command);
    history.recordSentCommand("a", command);
    CommandResult first = new CommandResult(null, List.of(new Grant(DUTY, 1)), List.of(), TERMS, 0);
    history.recordResult(command, first);
    history.recordResult(command, first);
    history.recordResult(
        command,
        new CommandResult(
            new MembershipException.StaleSequenceNumber("a", 1, 2).details(),
            List.of(),
            List.of(),
            TERMS,
            0));
    assertThat(history.violations()).isEmpty();
    assertThat(history.commands()).singleElement().matches(one -> one.copies() == 2);
    history.recordResult(
        command, new CommandResult(null, List.of(new Grant(DUTY, 2)), List.of(), TERMS, 0));
    assertThat(history.violations()).singleElement().asString().contains("two answers");
  }
}
