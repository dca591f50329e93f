/**
 * A host process in which the simulator runs routing policies, over standard input and output.
 *
 * <p>Each input line is a batch of messages with the simulated time. Each output line contains the
 * actions of all instances with messages in the batch, in the order of their first message. {@link
 * tidebank.simulation.SimulatorHost} reads the lines and owns the instances, on the thread that
 * calls {@code run}. {@code EventReader} turns messages into events, and {@code ActionWriter} turns
 * actions into messages. {@code SimulatorProtocol} holds the names of the simulator's protocol,
 * which the simulator defines and which must not change here.
 *
 * <p>The package makes no decisions and has no clock of its own. Start reading at {@link
 * tidebank.simulation.SimulatorHost}.
 */
package tidebank.simulation;
