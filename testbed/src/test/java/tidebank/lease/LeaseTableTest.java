package tidebank.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tidebank.lease.LeaseCommand.Kind;

/**
 * Tests how commands of members, operators and new leaders change the lease table. Times are in
 * milliseconds here and are converted for the table.
 */
class LeaseTableTest {
  private static final long MS = 1000;
  private static final LeaseConfig CONFIG = new LeaseConfig(3000 * MS, 0.05, 50, 64);

  private final LeaseTable table = new LeaseTable(CONFIG);
  private final Map<String, Long> sequences = new HashMap<>();
  private long term = 1;
  private long now = 7_000;

  @BeforeEach
  void configureTasks() {
    configure(List.of("probe/a", "report"));
  }

  private void configure(List<String> tasks) {
    apply(
        new LeaseCommand(
            Kind.PLAN,
            "steward",
            nextSequence("steward"),
            "",
            "",
            0,
            0,
            "",
            new LeaseCommand.Plan(CONFIG, tasks)));
  }

  private long nextSequence(String session) {
    return sequences.merge(session, 1L, Long::sum);
  }

  private CommandResult apply(LeaseCommand command) {
    return table.apply(term, now * MS, command);
  }

  /** Sends a member's command. A session is the member's name, with an apostrophe per restart. */
  private CommandResult send(Kind kind, String session) {
    return apply(LeaseCommand.of(kind, session, nextSequence(session), session.replace("'", "")));
  }

  /** Sends a member's command for a task; a published value is always "x". */
  private CommandResult sendForTask(Kind kind, String session, String task, long fencingToken) {
    return apply(
        new LeaseCommand(
            kind,
            session,
            nextSequence(session),
            session.replace("'", ""),
            task,
            fencingToken,
            0,
            "x",
            null));
  }

  /** Sends an operator's command and returns the error code, or an empty text. */
  private String sendAsOperator(Kind kind, String member, String task) {
    return errorCode(
        apply(new LeaseCommand(kind, "op", nextSequence("op"), member, task, 0, 0, "", null)));
  }

  /** Returns the error code of a result, or an empty text. */
  private static String errorCode(CommandResult result) {
    return result.error() == null ? "" : result.error().code();
  }

  private TaskLease lease(String task) {
    return table.state().tasks().stream()
        .filter(lease -> lease.task().equals(task))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Guards against a second grant of a task while a member renews its lease, and against a release
   * with a token that is not the current one.
   */
  @Test
  void leaseHasOneHolderFromClaimToRelease() {
    assertThat(send(Kind.JOIN, "a").assignedTasks()).containsExactly("probe/a", "report");
    assertThat(sendForTask(Kind.CLAIM, "a", "report", 0).leases())
        .containsExactly(new CommandResult.Grant("report", 1));
    assertThat(errorCode(sendForTask(Kind.CLAIM, "a", "nothing", 0))).isEqualTo("TB-1001");
    send(Kind.JOIN, "b");
    assertThat(errorCode(sendForTask(Kind.CLAIM, "b", "report", 0))).isEqualTo("TB-1002");
    now += 2900;
    send(Kind.RENEW, "a");
    now += 2900;
    assertThat(errorCode(sendForTask(Kind.CLAIM, "b", "report", 0))).isIn("TB-1002", "TB-1007");
    assertThat(errorCode(sendForTask(Kind.RELEASE, "a", "report", 9))).isEqualTo("TB-1004");
    assertThat(errorCode(sendForTask(Kind.RELEASE, "a", "report", 1))).isEmpty();
    assertThat(lease("report").holder()).isEmpty();
  }

  /**
   * Guards against waiting members that are not woken for a free or expired task, and against
   * waking them for a task that is held.
   */
  @Test
  void unclaimedTasksAreListedByAssignedMember() {
    assertThat(table.state().unclaimedTasks()).isEmpty();
    send(Kind.JOIN, "a");
    assertThat(table.state().unclaimedTasks()).isEqualTo(Map.of("a", List.of("probe/a", "report")));
    sendForTask(Kind.CLAIM, "a", "report", 0);
    assertThat(table.state().unclaimedTasks()).isEqualTo(Map.of("a", List.of("probe/a")));
    assertThat(table.state().asOf((now + 3001) * MS).unclaimedTasks())
        .isEqualTo(Map.of("a", List.of("probe/a", "report")));
  }

  /** Guards against a late renewal that revives a lease that another member may already hold. */
  @Test
  void renewalAfterExpiryDoesNotReviveTheLease() {
    send(Kind.JOIN, "a");
    sendForTask(Kind.CLAIM, "a", "report", 0);
    now += 3000;
    assertThat(send(Kind.RENEW, "a").leases()).isEmpty();
    assertThat(errorCode(sendForTask(Kind.PUBLISH, "a", "report", 1))).isEqualTo("TB-1005");
    assertThat(sendForTask(Kind.CLAIM, "a", "report", 0).leases())
        .containsExactly(new CommandResult.Grant("report", 2));
  }

  /**
   * Guards against a dead member that blocks its task or its name: both are free once it expires,
   * and its old session is not accepted afterwards.
   */
  @Test
  void memberWithoutRenewalsLosesItsTaskAndName() {
    send(Kind.JOIN, "a");
    sendForTask(Kind.CLAIM, "a", "report", 0);
    send(Kind.JOIN, "b");
    assertThat(errorCode(send(Kind.JOIN, "a'"))).isEqualTo("TB-1006");
    now += 1500;
    send(Kind.RENEW, "b");
    now += 1500;
    assertThat(send(Kind.RENEW, "b").assignedTasks()).contains("report");
    assertThat(sendForTask(Kind.CLAIM, "b", "report", 0).leases())
        .contains(new CommandResult.Grant("report", 2));
    assertThat(errorCode(send(Kind.JOIN, "a'"))).isEmpty();
    assertThat(errorCode(send(Kind.RENEW, "a"))).isEqualTo("TB-1007");
  }

  /**
   * Guards against treating a late renewal as a restart, and against tasks that move each time a
   * flapping member restarts.
   */
  @Test
  void onlyAFlappingMemberIsHeldOffLongerEachTime() {
    send(Kind.JOIN, "a");
    now += 5000;
    // The same session renews late: it has lost its leases but may claim again at once.
    assertThat(send(Kind.RENEW, "a").assignedTasks()).contains("report");
    List<Long> holdOffs = new ArrayList<>();
    String session = "a";
    for (int i = 0; i < 4; i++) {
      send(Kind.LEAVE, session);
      session += "'";
      // A held-off member still gets tasks if there is no other.
      assertThat(send(Kind.JOIN, session).assignedTasks()).contains("report");
      holdOffs.add(table.state().members().get(0).eligibleAt() / MS - now);
    }
    send(Kind.JOIN, "b");
    assertThat(send(Kind.RENEW, "b").assignedTasks()).containsExactly("probe/a", "report");
    assertThat(send(Kind.RENEW, session).assignedTasks()).isEmpty();
    assertThat(holdOffs).containsExactly(3000L, 6000L, 12_000L, 24_000L);
  }

  /**
   * Guards against a new leader that grants a lease again while the previous leader's grant is
   * valid, or that revives members that had expired: its clock differs from the previous one's.
   */
  @Test
  void newLeaderKeepsUnexpiredLeasesAndRevivesNoMember() {
    send(Kind.JOIN, "a");
    send(Kind.JOIN, "b");
    sendForTask(
        Kind.CLAIM, "a", lease("report").assignedMember().equals("a") ? "report" : "probe/a", 0);
    String held = lease("report").holder().equals("a") ? "report" : "probe/a";
    now += 2900;
    send(Kind.RENEW, "b");
    // The new leader's clock is unrelated to the previous leader's.
    term = 2;
    now = 3;
    send(Kind.RENEW, "b");
    assertThat(lease(held).expiresAt()).isEqualTo(3003 * MS);
    now += 2990;
    assertThat(errorCode(sendForTask(Kind.CLAIM, "b", held, 0))).isEqualTo("TB-1002");
    now += 10;
    send(Kind.RENEW, "b");
    assertThat(sendForTask(Kind.CLAIM, "b", held, 0).leases())
        .contains(new CommandResult.Grant(held, 2));
    term = 3;
    now = 1_000_000;
    send(Kind.RENEW, "b");
    assertThat(table.state().members().get(0).expiresAt())
        .as("a was silent before")
        .isEqualTo(now * MS);
  }

  /** Guards against operators' commands that leave tasks with the wrong member or lose them. */
  @Test
  void operatorsMoveDrainAdmitAndRetire() {
    send(Kind.JOIN, "a");
    send(Kind.JOIN, "b");
    assertThat(sendAsOperator(Kind.MOVE, "nobody", "report")).isEqualTo("TB-1015");
    assertThat(sendAsOperator(Kind.MOVE, "b", "report")).isEmpty();
    assertThat(sendAsOperator(Kind.MOVE, "b", "probe/a")).isEmpty();
    assertThat(send(Kind.RENEW, "b").assignedTasks()).containsExactly("probe/a", "report");
    assertThat(sendAsOperator(Kind.DRAIN, "b", "")).isEmpty();
    assertThat(send(Kind.RENEW, "b").assignedTasks()).isEmpty();
    assertThat(send(Kind.RENEW, "a").assignedTasks()).containsExactly("probe/a", "report");
    assertThat(sendAsOperator(Kind.ADMIT, "b", "")).isEmpty();
    assertThat(sendAsOperator(Kind.MOVE, "", "probe/a")).isEmpty();
    assertThat(sendAsOperator(Kind.RETIRE, "a", "")).isEmpty();
    assertThat(errorCode(send(Kind.RENEW, "a"))).isEqualTo("TB-1008");
    assertThat(errorCode(send(Kind.JOIN, "a'"))).isEqualTo("TB-1008");
    assertThat(send(Kind.RENEW, "b").assignedTasks()).containsExactly("probe/a", "report");
  }

  /**
   * Guards against reused fencing tokens: a task that is removed and added again must not restart
   * from token 1.
   */
  @Test
  void readdedTaskContinuesWithGreaterFencingTokens() {
    send(Kind.JOIN, "a");
    sendForTask(Kind.CLAIM, "a", "report", 0);
    sendForTask(Kind.RELEASE, "a", "report", 1);
    sendForTask(Kind.CLAIM, "a", "report", 0);
    configure(List.of("probe/a"));
    configure(List.of("probe/a", "report"));
    assertThat(sendForTask(Kind.CLAIM, "a", "report", 0).leases())
        .contains(new CommandResult.Grant("report", 3));
  }

  /**
   * Guards against uneven assignment, against moving tasks of other members when one leaves, and
   * against a table that exceeds its member limit.
   */
  @Test
  void tasksSpreadEvenlyAndOnlyALeaversTasksMove() {
    List<String> tasks = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      tasks.add("probe/" + i);
    }
    for (int i = 0; i < 40; i++) {
      send(Kind.JOIN, "m" + i);
    }
    configure(tasks);
    Map<String, String> before = assignedMembers();
    Map<String, Integer> tasksPerMember = new HashMap<>();
    before.values().forEach(member -> tasksPerMember.merge(member, 1, Integer::sum));
    assertThat(tasksPerMember.values()).allMatch(count -> count <= 2);
    send(Kind.LEAVE, before.get("probe/7"));
    Map<String, String> after = assignedMembers();
    assertThat(after.keySet())
        .filteredOn(task -> !after.get(task).equals(before.get(task)))
        .allMatch(task -> before.get(task).equals(before.get("probe/7")));
    for (int i = 40; i < 50; i++) {
      assertThat(errorCode(send(Kind.JOIN, "m" + i))).isEmpty();
    }
    // The member that left is replaced; after that the table is full.
    assertThat(errorCode(send(Kind.JOIN, "m50"))).isEmpty();
    assertThat(errorCode(send(Kind.JOIN, "m51"))).isEqualTo("TB-1009");
  }

  /** Returns the member that each task is assigned to. */
  private Map<String, String> assignedMembers() {
    Map<String, String> members = new HashMap<>();
    table.state().tasks().forEach(lease -> members.put(lease.task(), lease.assignedMember()));
    return members;
  }

  /**
   * Guards against a snapshot that loses state: a command repeated after the restore would take
   * effect twice.
   */
  @Test
  void restoredTableRecognizesRepeatedCommands() {
    send(Kind.JOIN, "a");
    sendForTask(Kind.CLAIM, "a", "report", 0);
    LeaseCommand publish =
        new LeaseCommand(
            Kind.PUBLISH, "a", nextSequence("a"), "a", "report", 1, 0, "report-1", null);
    CommandResult firstResult = apply(publish);
    LeaseTable restored = new LeaseTable(table.state());
    assertThat(restored.state()).isEqualTo(table.state());
    assertThat(restored.apply(term, now * MS + 5, publish)).isEqualTo(firstResult);
    assertThat(
            errorCode(
                restored.apply(
                    term,
                    now * MS + 5,
                    new LeaseCommand(
                        Kind.PUBLISH, "a", 90, "a", "report", 1, 0, "report-2", null))))
        .isEqualTo("TB-1011");
  }
}
