/**
 * The inputs and outputs of {@code tidebank.policy}.
 *
 * <p>{@link tidebank.model.Settings} and {@link tidebank.model.QueryClass} are read once at the
 * start. An {@link tidebank.model.Event} says what happened, an {@link tidebank.model.Action} what
 * to do, and an {@link tidebank.model.Outcome} how an attempt ended. These types are immutable and
 * may be shared between threads. {@link tidebank.model.SeededRandom} is mutable and must only be
 * used by the thread that created it.
 *
 * <p>This package does no I/O, does not depend on a transport and makes no decisions. Codecs and
 * settings readers in other packages map the names on the wire and in settings files to these
 * types. Start reading at {@code Event} and {@code Action}.
 */
package tidebank.model;
