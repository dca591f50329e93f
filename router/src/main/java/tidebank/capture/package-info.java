/**
 * Records the input and output of the routing policy to disk, one record per decision round, for
 * later replay.
 *
 * <p>The event loop calls {@link tidebank.capture.DecisionLog} after each decision round. {@link
 * tidebank.capture.CaptureRecorder} implements it: the event loop puts rounds into a bounded queue;
 * a writer thread encodes them into blocks and writes the blocks to segment files. {@link
 * tidebank.capture.SegmentRetention} decides when the recorder flushes a block, starts a new
 * segment, deletes old segments and retries after an I/O error. It does no I/O itself.
 *
 * <p>A capture is a directory of segment files ({@link tidebank.capture.CaptureSegments}). A
 * segment is a header and a sequence of checksummed, compressed blocks. A block is a sequence of
 * {@link tidebank.capture.CaptureRecord}s, written by {@code CaptureEncoder} and read by {@code
 * CaptureDecoder} independently of other blocks. {@code CaptureFormat} holds the constants that
 * both share. Settings of a policy are stored as JSON, under the field names in {@code
 * SettingsJson}.
 *
 * <p>Start reading at {@link tidebank.capture.CaptureRecord}. The package depends only on {@code
 * tidebank.model}.
 */
package tidebank.capture;
