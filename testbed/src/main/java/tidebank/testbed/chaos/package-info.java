/**
 * Fault injection: clusters of coordinators and query routers, run as processes on this machine
 * while scripts break the processes and the links between them, and checked from outside.
 *
 * <p>{@link tidebank.testbed.chaos.ScriptRunner} runs one {@link tidebank.testbed.chaos.Script},
 * built in, from a file, or drawn by {@link tidebank.testbed.chaos.RandomScript}. {@code
 * TestCluster} starts the processes; {@code FaultProxy} stands before every address of a
 * coordinator and injects faults into links. What goes over the links is decoded by {@code
 * TrafficRecorder}, what the coordinators say is read by {@code ClusterObserver}, and both go into
 * a {@link tidebank.testbed.chaos.History}.
 *
 * <p>After the run {@link tidebank.testbed.chaos.LeaseRules} and {@link
 * tidebank.testbed.chaos.LinearizabilityChecker} judge the history alone, and {@link
 * tidebank.testbed.chaos.RunArtifacts} writes the run's folder.
 *
 * <p>Threads: the script's thread owns the cluster, the proxy's event loop owns all connections and
 * links, the observer has a thread of its own, and the history is synchronized. Start reading at
 * {@link tidebank.testbed.chaos.ScriptRunner#run}.
 */
package tidebank.testbed.chaos;
