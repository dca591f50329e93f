package tidebank.testbed.chaos;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import tidebank.lease.LeaseTableState;
import tidebank.lease.TaskLease;
import tidebank.testbed.chaos.Script.Step;

/**
 * Tells whether the condition of a step is met: what was observed is compared with a mark that was
 * set when the step before was taken. Belongs to the script's thread.
 */
final class StepConditions {
  /**
   * What had been observed when the last step was taken. Counts are by member.
   *
   * @param revision of the report
   * @param fencingToken of the report
   * @param leader the leading coordinator, or -1
   * @param round of the observer
   * @param commands sent
   * @param renewals answered
   * @param claims sent of the report
   * @param removalLists sent to be published
   */
  private record Mark(
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
  private Mark mark;

  StepConditions(
      TestCluster cluster, ClusterObserver observer, ProcessSelector processes, History history) {
    this.cluster = cluster;
    this.observer = observer;
    this.processes = processes;
    this.history = history;
  }

  /** Sets the mark from which the next condition counts. */
  void setMark() {
    ClusterObserver.Observation observation = observer.observation();
    TaskLease report = observation.reportLease();
    mark =
        new Mark(
            report == null ? 0 : report.revision(),
            report == null ? 0 : report.fencingToken(),
            observation.leader(),
            observation.round(),
            countByMember(history::commandsSentBy),
            countByMember(history::renewalsAnsweredTo),
            countByMember(this::countReportClaims),
            history.publicationsSentFor("retention"));
  }

  private Map<String, Integer> countByMember(ToIntFunction<String> count) {
    Map<String, Integer> counts = new HashMap<>();
    for (String member : cluster.memberNames()) {
      counts.put(member, count.applyAsInt(member));
    }
    return counts;
  }

  private int countReportClaims(String member) {
    return history.claimsSentBy(member, "report");
  }

  /** Returns whether the condition of a step is met. */
  boolean isMet(Step step) {
    ClusterObserver.Observation observation = observer.observation();
    TaskLease report = observation.reportLease();
    return switch (step.condition()) {
      case NOTHING -> true;
      case PUBLICATIONS -> report.revision() >= mark.revision() + step.count();
      case RENEWALS -> hasReachedCount(step, history::renewalsAnsweredTo, mark.renewals());
      case CALLS -> hasReachedCount(step, history::commandsSentBy, mark.commands());
      case CLAIMS -> hasReachedCount(step, this::countReportClaims, mark.claims());
      case LISTS -> history.publicationsSentFor("retention") >= mark.removalLists() + step.count();
      case GRANT -> report.fencingToken() > mark.fencingToken();
      case SUCCESSOR -> report.publishingToken() > mark.fencingToken();
      case EXPIRED ->
          report.holder().isEmpty() || report.expiresAt() <= observation.state().leaderClock();
      case OWNED -> areAllTasksHeld();
      case ALIVE -> countAliveMembers() >= step.count();
      case LEADER -> observation.leader() >= 0 && observation.leader() != mark.leader();
      case LEADERLESS -> observation.leader() < 0 && observation.round() > mark.round() + 1;
      case ENDED -> processes.resolve(step.observed()).stream().noneMatch(cluster::isAlive);
    };
  }

  private boolean hasReachedCount(
      Step step, ToIntFunction<String> count, Map<String, Integer> before) {
    return processes.resolve(step.observed()).stream()
            .mapToInt(name -> count.applyAsInt(name) - before.getOrDefault(name, 0))
            .sum()
        >= step.count();
  }

  /** Returns whether at least so many reports were published since the mark. */
  boolean hasPublishedReports(int count) {
    return observer.observation().reportLease().revision() >= mark.revision() + count;
  }

  /** Returns whether all members of a cluster of this size are alive, and all tasks are held. */
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
