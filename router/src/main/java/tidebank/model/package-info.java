/**
 * The interface of the routing decisions: what goes into {@code tidebank.policy} and what comes
 * out.
 *
 * <p>{@link tidebank.model.Settings} and {@link tidebank.model.QueryClass} are read once at the
 * start. {@link tidebank.model.Event} says what happened, {@link tidebank.model.Action} what to do,
 * {@link tidebank.model.Outcome} how an attempt ended. All are immutable and may be shared between
 * threads. {@link tidebank.model.SeededRandom} is the one exception: it has state, and belongs to
 * the thread of whoever made it.
 *
 * <p>Nothing here does I/O, knows a transport or decides anything. The words of the wire and of
 * settings files are mapped to these types at the codecs and readers of those edges. Start reading
 * at {@code Event} and {@code Action}.
 */
package tidebank.model;
