/**
 * Replays captures of routing decisions.
 *
 * <p>{@link tidebank.testbed.capture.CaptureReplay} feeds the events of a capture to a new routing
 * policy and compares what it decides with what was recorded, so that a change of the policy shows
 * which decisions it changes. {@link tidebank.testbed.capture.EventKind} has the words by which
 * output and filters name the kinds of events. Captures are read by {@code tidebank.capture}; all
 * state is in one object on the caller's thread, and nothing here starts a thread or writes a file.
 *
 * <p>Start reading at {@link tidebank.testbed.capture.CaptureReplay#replay}.
 */
package tidebank.testbed.capture;
