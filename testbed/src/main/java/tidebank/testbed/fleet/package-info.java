/**
 * Coordinators and routers in separate processes, for tests, demonstrations and load tests.
 *
 * <p>{@link tidebank.testbed.fleet.CoordinatorProcesses} starts coordinators with the command line
 * that operators use; {@link tidebank.testbed.fleet.RouterProcesses} starts routers that are
 * members of their fleet; {@link tidebank.testbed.fleet.CoordinatorLoad} measures how many commands
 * coordinators execute per second. Callers use one thread; a callback for a process's output runs
 * on that process's reader thread.
 *
 * <p>Start reading at {@link tidebank.testbed.fleet.CoordinatorProcesses}.
 */
package tidebank.testbed.fleet;
