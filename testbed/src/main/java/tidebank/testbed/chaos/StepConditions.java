package tidebank.testbed.chaos;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import tidebank.lease.LeaseTableState;
import tidebank.lease.TaskLease;
import tidebank.testbed.chaos.Script.Step;

/**
 * Evaluates the conditions of steps. Compares the current observation with a baseline, which was
 * recorded right after the previous step. Confined to the script's thread.
 */
final class StepConditions {
  /**
   * The observation right after the last step. Maps hold counts by member name.
   *
   * @param revision revision of the last published report
   * @param fencingToken fencing token of the report task
   * @param leader number of the leading coordinator, or -1
   * @param round number of the observer's polling round
   * @param commands commands sent
   * @param renewals successful renewals
   * @param claims claims of the report task sent
   * @param removalLists number of removal lists sent for publication
   */
  private record Baseline(
      long revision,
      long fencingToken,
      int leader,
      long round,
      Map<String, Integer> commands,
      Map<String, Integer> renewals,
      Map<String, Integer> claims,
      int removalLists) {}

  private final TestCluster cluster;
  private final ClusterObserver observer;
  private final ProcessSelector processes;
  private final History history;
  private Baseline baseline;

  StepConditions(
      TestCluster cluster, ClusterObserver observer, ProcessSelector processes, History history) {
    this.cluster = cluster;
    this.observer = observer;
    this.processes = processes;
    this.history = history;
  }

  /** Records the baseline that the next condition counts from. */
  void setMark() {
    ClusterObserver.Observation observation = observer.observation();
    TaskLease report = observation.reportLease();
    baseline =
        new Baseline(
            report == null ? 0 : report.revision(),
            report == null ? 0 : report.fencingToken(),
            observation.leader(),
            observation.round(),
            countByMember(history::countCommandsSentBy),
            countByMember(history::countSuccessfulRenewalsBy),
            countByMember(this::countReportClaims),
            history.countPublicationsSentFor("retention"));
  }

  private Map<String, Integer> countByMember(ToIntFunction<String> count) {
    Map<String, Integer> counts = new HashMap<>();
    for (String member : cluster.memberNames()) {
      counts.put(member, count.applyAsInt(member));
    }
    return counts;
  }

  private int countReportClaims(String member) {
    return history.countClaimsSentBy(member, "report");
  }

  /** Returns whether the condition of a step is met. */
  boolean isMet(Step step) {
    ClusterObserver.Observation observation = observer.observation();
    TaskLease report = observation.reportLease();
    return switch (step.condition()) {
      case NOTHING -> true;
      case PUBLICATIONS -> report.revision() >= baseline.revision() + step.count();
      case RENEWALS ->
          hasReachedCount(step, history::countSuccessfulRenewalsBy, baseline.renewals());
      case CALLS -> hasReachedCount(step, history::countCommandsSentBy, baseline.commands());
      case CLAIMS -> hasReachedCount(step, this::countReportClaims, baseline.claims());
      case LISTS ->
          history.countPublicationsSentFor("retention") >= baseline.removalLists() + step.count();
      case GRANT -> report.fencingToken() > baseline.fencingToken();
      case SUCCESSOR -> report.publishingToken() > baseline.fencingToken();
      case EXPIRED ->
          report.holder().isEmpty() || report.expiresAt() <= observation.state().leaderClock();
      case OWNED -> areAllTasksHeld();
      case ALIVE -> countAliveMembers() >= step.count();
      case LEADER -> observation.leader() >= 0 && observation.leader() != baseline.leader();
      case LEADERLESS -> observation.leader() < 0 && observation.round() > baseline.round() + 1;
      case ENDED -> processes.resolve(step.observed()).stream().noneMatch(cluster::isAlive);
    };
  }

  private boolean hasReachedCount(
      Step step, ToIntFunction<String> count, Map<String, Integer> countsBefore) {
    return processes.resolve(step.observed()).stream()
            .mapToInt(name -> count.applyAsInt(name) - countsBefore.getOrDefault(name, 0))
            .sum()
        >= step.count();
  }

  /** Returns whether at least {@code count} reports were published since the baseline. */
  boolean hasPublishedReports(int count) {
    return observer.observation().reportLease().revision() >= baseline.revision() + count;
  }

  /** Returns whether all {@code members} members are alive and all tasks are held. */
  boolean isSettled(int members) {
    return countAliveMembers() == members && areAllTasksHeld();
  }

  private long countAliveMembers() {
    LeaseTableState state = observer.observation().state();
    return state == null || observer.observation().leader() < 0
        ? 0
        : state.members().stream()
            .filter(member -> member.expiresAt() > state.leaderClock())
            .count();
  }

  private boolean areAllTasksHeld() {
    LeaseTableState state = observer.observation().state();
    return state != null
        && observer.observation().leader() >= 0
        && !state.tasks().isEmpty()
        && state.tasks().stream()
            .allMatch(
                lease -> !lease.holder().isEmpty() && lease.expiresAt() > state.leaderClock());
  }
}
