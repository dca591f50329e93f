/**
 * Replays captures of routing decisions.
 *
 * <p>{@link tidebank.testbed.capture.CaptureReplay} feeds the events of a capture to a new routing
 * policy and compares its actions with the recorded ones, to show which decisions a change of the
 * policy affects. {@link tidebank.testbed.capture.EventKind} holds the names of the kinds of events
 * in output and filters. Captures are read with {@code tidebank.capture}. A replay runs on the
 * caller's thread and writes no file.
 *
 * <p>Start reading at {@link tidebank.testbed.capture.CaptureReplay#replay}.
 */
package tidebank.testbed.capture;
