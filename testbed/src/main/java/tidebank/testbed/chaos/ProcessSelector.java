package tidebank.testbed.chaos;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import tidebank.lease.TaskLease;

/**
 * Resolves names in a script to process names. A role such as {@code owner} resolves to the process
 * that has this role now, and an alias to the processes for which it was defined.
 */
final class ProcessSelector {
  private final TestCluster cluster;
  private final ClusterObserver observer;
  private final Map<String, List<String>> aliases = new HashMap<>();

  ProcessSelector(TestCluster cluster, ClusterObserver observer) {
    this.cluster = cluster;
    this.observer = observer;
  }

  void addAlias(String alias, List<String> processes) {
    aliases.put(alias, processes);
  }

  boolean exists(String process) {
    return cluster.memberNames().contains(process) || cluster.coordinatorNames().contains(process);
  }

  /** Resolves a role or an alias; any other name is returned as the name of a process. */
  List<String> resolve(String name) {
    return switch (name) {
      case "owner" -> List.of(reportHolder());
      case "remover" -> List.of(holderOf("retention").orElse(reportHolder()));
      case "other" -> List.of(firstOther(cluster.memberNames(), reportHolder()));
      case "leader" -> List.of(leadingCoordinator());
      case "follower" -> List.of(firstOther(cluster.coordinatorNames(), leadingCoordinator()));
      case "members" -> cluster.memberNames();
      case "stewards" -> cluster.coordinatorNames();
      case "all" ->
          Stream.concat(cluster.memberNames().stream(), cluster.coordinatorNames().stream())
              .toList();
      default -> aliases.getOrDefault(name, List.of(name));
    };
  }

  /** Returns the holder of the report task, or the first member if the task has no holder. */
  String reportHolder() {
    return holderOf("report").orElse(cluster.memberNames().get(0));
  }

  private Optional<String> holderOf(String task) {
    TaskLease lease = LeaseRules.findTask(observer.observation().state(), task);
    return Optional.ofNullable(lease).map(TaskLease::holder).filter(holder -> !holder.isEmpty());
  }

  private String leadingCoordinator() {
    return "s" + Math.max(0, observer.observation().leader());
  }

  private static String firstOther(List<String> processes, String excluded) {
    return processes.stream().filter(name -> !name.equals(excluded)).findFirst().orElse(excluded);
  }
}
