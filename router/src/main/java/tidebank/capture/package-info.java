/**
 * Captures: the input and output of the routing policy, round by round, on disk, to be replayed
 * later.
 *
 * <p>{@link tidebank.capture.DecisionLog} is what the event loop calls after each decision round.
 * {@link tidebank.capture.CaptureRecorder} implements it: the event loop puts rounds into a bounded
 * queue, and a writer thread owns all the rest, from the block that is being encoded to the open
 * segment. {@link tidebank.capture.SegmentRetention} holds the recorder's decisions and does no
 * I/O.
 *
 * <p>A capture is a directory of segments ({@link tidebank.capture.CaptureSegments}); a segment is
 * a header and checksummed, compressed blocks; a block is a sequence of {@link
 * tidebank.capture.CaptureRecord}s, written by {@code CaptureEncoder} and read by {@code
 * CaptureDecoder} without any other block. {@code CaptureFormat} has the numbers that both share.
 * The settings of a policy are stored as JSON under the names that {@code SettingsJson} gives them.
 *
 * <p>Start reading at {@link tidebank.capture.CaptureRecord}. The package depends on {@code
 * tidebank.model} only.
 */
package tidebank.capture;
