/**
 * Coordinators and routers as processes of their own, for tests, demonstrations and load.
 *
 * <p>{@link tidebank.testbed.fleet.CoordinatorProcesses} starts coordinators as operators do and
 * kills, stops and wakes them; {@link tidebank.testbed.fleet.RouterProcesses} starts routers that
 * are members of their fleet; {@link tidebank.testbed.fleet.CoordinatorLoad} measures how many
 * commands coordinators decide. All state is owned by the test's thread; output lines of a process
 * come on a thread of its own.
 *
 * <p>Start reading at {@link tidebank.testbed.fleet.CoordinatorProcesses}.
 */
package tidebank.testbed.fleet;
