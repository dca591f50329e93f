package tidebank.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tidebank.lease.LeaseCommand.Kind;

/** What members, operators and new leaders make of the stewards' state. Times are in ms here. */
class LeaseTableTest {
  private static final long MS = 1000;
  private static final LeaseConfig TERMS = new LeaseConfig(3000 * MS, 0.05, 50, 64);

  private final LeaseTable book = new LeaseTable(TERMS);
  private final Map<String, Long> numbers = new HashMap<>();
  private long term = 1;
  private long now = 7_000;

  @BeforeEach
  void plan() {
    plan(List.of("probe/a", "report"));
  }

  private void plan(List<String> duties) {
    apply(
        new LeaseCommand(
            Kind.PLAN,
            "steward",
            number("steward"),
            "",
            "",
            0,
            0,
            "",
            new LeaseCommand.Plan(TERMS, duties)));
  }

  private long number(String session) {
    return numbers.merge(session, 1L, Long::sum);
  }

  private CommandResult apply(LeaseCommand command) {
    return book.apply(term, now * MS, command);
  }

  /** A member's session is its name with a tick for each start. */
  private CommandResult ask(Kind kind, String session) {
    return apply(LeaseCommand.of(kind, session, number(session), session.replace("'", "")));
  }

  private CommandResult about(Kind kind, String session, String duty, long token) {
    return apply(
        new LeaseCommand(
            kind, session, number(session), session.replace("'", ""), duty, token, 0, "x", null));
  }

  private String operate(Kind kind, String name, String duty) {
    return code(apply(new LeaseCommand(kind, "op", number("op"), name, duty, 0, 0, "", null)));
  }

  private static String code(CommandResult answer) {
    return answer.error() == null ? "" : answer.error().code();
  }

  private TaskLease duty(String name) {
    return book.state().tasks().stream()
        .filter(duty -> duty.task().equals(name))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void aDutyIsClaimedRenewedReleasedAndHeldByOneOnly() {
    assertThat(ask(Kind.JOIN, "a").assignedTasks()).containsExactly("probe/a", "report");
    assertThat(about(Kind.CLAIM, "a", "report", 0).leases())
        .containsExactly(new CommandResult.Grant("report", 1));
    assertThat(code(about(Kind.CLAIM, "a", "nothing", 0))).isEqualTo("TB-1001");
    ask(Kind.JOIN, "b");
    assertThat(code(about(Kind.CLAIM, "b", "report", 0))).isEqualTo("TB-1002");
    now += 2900;
    ask(Kind.RENEW, "a");
    now += 2900;
    assertThat(code(about(Kind.CLAIM, "b", "report", 0))).isIn("TB-1002", "TB-1007");
    assertThat(code(about(Kind.RELEASE, "a", "report", 9))).isEqualTo("TB-1004");
    assertThat(code(about(Kind.RELEASE, "a", "report", 1))).isEmpty();
    assertThat(duty("report").holder()).isEmpty();
  }

  @Test
  void whatNobodyHasIsToldByWhomItIsMeantForAndWhatIsOwnedIsNot() {
    assertThat(book.state().unclaimed()).isEmpty();
    ask(Kind.JOIN, "a");
    assertThat(book.state().unclaimed()).isEqualTo(Map.of("a", List.of("probe/a", "report")));
    about(Kind.CLAIM, "a", "report", 0);
    assertThat(book.state().unclaimed()).isEqualTo(Map.of("a", List.of("probe/a")));
    assertThat(book.state().asOf((now + 3001) * MS).unclaimed())
        .isEqualTo(Map.of("a", List.of("probe/a", "report")));
  }

  @Test
  void aRenewalAfterTheEndOfTheLeaseBringsNothingBack() {
    ask(Kind.JOIN, "a");
    about(Kind.CLAIM, "a", "report", 0);
    now += 3000;
    assertThat(ask(Kind.RENEW, "a").leases()).isEmpty();
    assertThat(code(about(Kind.PUBLISH, "a", "report", 1))).isEqualTo("TB-1005");
    assertThat(about(Kind.CLAIM, "a", "report", 0).leases())
        .containsExactly(new CommandResult.Grant("report", 2));
  }

  @Test
  void oneThatClaimsAndNeverRenewsLosesItAndItsNameIsFreeAfterwards() {
    ask(Kind.JOIN, "a");
    about(Kind.CLAIM, "a", "report", 0);
    ask(Kind.JOIN, "b");
    assertThat(code(ask(Kind.JOIN, "a'"))).isEqualTo("TB-1006");
    now += 1500;
    ask(Kind.RENEW, "b");
    now += 1500;
    assertThat(ask(Kind.RENEW, "b").assignedTasks()).contains("report");
    assertThat(about(Kind.CLAIM, "b", "report", 0).leases())
        .contains(new CommandResult.Grant("report", 2));
    assertThat(code(ask(Kind.JOIN, "a'"))).isEmpty();
    assertThat(code(ask(Kind.RENEW, "a"))).isEqualTo("TB-1007");
  }

  @Test
  void aSlowMemberIsNotADeadOneAndAFlappingOneGetsDutiesEverLater() {
    ask(Kind.JOIN, "a");
    now += 5000;
    // Slow: the same session goes on, without its leases, and may claim at once.
    assertThat(ask(Kind.RENEW, "a").assignedTasks()).contains("report");
    List<Long> waits = new ArrayList<>();
    String session = "a";
    for (int i = 0; i < 4; i++) {
      ask(Kind.LEAVE, session);
      session += "'";
      // Held off, but better than nobody.
      assertThat(ask(Kind.JOIN, session).assignedTasks()).contains("report");
      waits.add(book.state().members().get(0).eligibleAt() / MS - now);
    }
    ask(Kind.JOIN, "b");
    assertThat(ask(Kind.RENEW, "b").assignedTasks()).containsExactly("probe/a", "report");
    assertThat(ask(Kind.RENEW, session).assignedTasks()).isEmpty();
    assertThat(waits).containsExactly(3000L, 6000L, 12_000L, 24_000L);
  }

  @Test
  void aNewLeaderHonoursWhatTheOldOneMayHaveGrantedAndGivesTheDeadNoNewLife() {
    ask(Kind.JOIN, "a");
    ask(Kind.JOIN, "b");
    about(Kind.CLAIM, "a", duty("report").assignedMember().equals("a") ? "report" : "probe/a", 0);
    String held = duty("report").holder().equals("a") ? "report" : "probe/a";
    now += 2900;
    ask(Kind.RENEW, "b");
    // Its clock has nothing to do with the old one's.
    term = 2;
    now = 3;
    ask(Kind.RENEW, "b");
    assertThat(duty(held).expiresAt()).isEqualTo(3003 * MS);
    now += 2990;
    assertThat(code(about(Kind.CLAIM, "b", held, 0))).isEqualTo("TB-1002");
    now += 10;
    ask(Kind.RENEW, "b");
    assertThat(about(Kind.CLAIM, "b", held, 0).leases()).contains(new CommandResult.Grant(held, 2));
    term = 3;
    now = 1_000_000;
    ask(Kind.RENEW, "b");
    assertThat(book.state().members().get(0).expiresAt())
        .as("a was silent before")
        .isEqualTo(now * MS);
  }

  @Test
  void operatorsMoveDrainAdmitAndRetire() {
    ask(Kind.JOIN, "a");
    ask(Kind.JOIN, "b");
    assertThat(operate(Kind.MOVE, "nobody", "report")).isEqualTo("TB-1015");
    assertThat(operate(Kind.MOVE, "b", "report")).isEmpty();
    assertThat(operate(Kind.MOVE, "b", "probe/a")).isEmpty();
    assertThat(ask(Kind.RENEW, "b").assignedTasks()).containsExactly("probe/a", "report");
    assertThat(operate(Kind.DRAIN, "b", "")).isEmpty();
    assertThat(ask(Kind.RENEW, "b").assignedTasks()).isEmpty();
    assertThat(ask(Kind.RENEW, "a").assignedTasks()).containsExactly("probe/a", "report");
    assertThat(operate(Kind.ADMIT, "b", "")).isEmpty();
    assertThat(operate(Kind.MOVE, "", "probe/a")).isEmpty();
    assertThat(operate(Kind.RETIRE, "a", "")).isEmpty();
    assertThat(code(ask(Kind.RENEW, "a"))).isEqualTo("TB-1008");
    assertThat(code(ask(Kind.JOIN, "a'"))).isEqualTo("TB-1008");
    assertThat(ask(Kind.RENEW, "b").assignedTasks()).containsExactly("probe/a", "report");
  }

  @Test
  void aDutyTakenOutAndBackGoesOnWithGreaterTokens() {
    ask(Kind.JOIN, "a");
    about(Kind.CLAIM, "a", "report", 0);
    about(Kind.RELEASE, "a", "report", 1);
    about(Kind.CLAIM, "a", "report", 0);
    plan(List.of("probe/a"));
    plan(List.of("probe/a", "report"));
    assertThat(about(Kind.CLAIM, "a", "report", 0).leases())
        .contains(new CommandResult.Grant("report", 3));
  }

  @Test
  void fortyMembersThatJoinAtOnceShareTheDutiesAndOneThatGoesMovesOnlyItsOwn() {
    List<String> duties = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      duties.add("probe/" + i);
    }
    for (int i = 0; i < 40; i++) {
      ask(Kind.JOIN, "m" + i);
    }
    plan(duties);
    Map<String, String> before = meant();
    Map<String, Integer> each = new HashMap<>();
    before.values().forEach(member -> each.merge(member, 1, Integer::sum));
    assertThat(each.values()).allMatch(count -> count <= 2);
    ask(Kind.LEAVE, before.get("probe/7"));
    Map<String, String> after = meant();
    assertThat(after.keySet())
        .filteredOn(duty -> !after.get(duty).equals(before.get(duty)))
        .allMatch(duty -> before.get(duty).equals(before.get("probe/7")));
    for (int i = 40; i < 50; i++) {
      assertThat(code(ask(Kind.JOIN, "m" + i))).isEmpty();
    }
    // The one that left makes room; then there is none.
    assertThat(code(ask(Kind.JOIN, "m50"))).isEmpty();
    assertThat(code(ask(Kind.JOIN, "m51"))).isEqualTo("TB-1009");
  }

  private Map<String, String> meant() {
    Map<String, String> meant = new HashMap<>();
    book.state().tasks().forEach(duty -> meant.put(duty.task(), duty.assignedMember()));
    return meant;
  }

  @Test
  void itsStateTakenUpAnewGoesOnAsIfNothingHadBeen() {
    ask(Kind.JOIN, "a");
    about(Kind.CLAIM, "a", "report", 0);
    LeaseCommand published =
        new LeaseCommand(Kind.PUBLISH, "a", number("a"), "a", "report", 1, 0, "report-1", null);
    CommandResult first = apply(published);
    LeaseTable again = new LeaseTable(book.state());
    assertThat(again.state()).isEqualTo(book.state());
    assertThat(again.apply(term, now * MS + 5, published)).isEqualTo(first);
    assertThat(
            code(
                again.apply(
                    term,
                    now * MS + 5,
                    new LeaseCommand(
                        Kind.PUBLISH, "a", 90, "a", "report", 1, 0, "report-2", null))))
        .isEqualTo("TB-1011");
  }
}
