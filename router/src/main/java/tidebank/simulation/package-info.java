/**
 * Runs routing policies inside the simulator, over standard input and output.
 *
 * <p>Each input line is a batch of messages with the simulated time; each output line has the
 * actions of all instances that the batch concerned, in the order of their first message. {@link
 * tidebank.simulation.SimulatorHost} reads lines and owns the instances, on the thread that calls
 * {@code run}. {@code EventReader} turns messages into events, {@code ActionWriter} turns actions
 * into messages, and {@code SimulatorProtocol} has the words of the wire, which belong to the
 * simulator and don't change here.
 *
 * <p>The package makes no decisions and keeps no time of its own. Start reading at {@link
 * tidebank.simulation.SimulatorHost}.
 */
package tidebank.simulation;
