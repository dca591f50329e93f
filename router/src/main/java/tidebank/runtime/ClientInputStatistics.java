package tidebank.runtime;

import java.util.Locale;

/**
 * Counts the input of clients in the current event loop pass, to explain a slow one. Confined to
 * the event loop.
 */
final class ClientInputStatistics {
  private int reads;
  private long bytes;
  private int messages;

  /** Records that a read from a client's connection returned this many bytes. */
  void recordRead(int byteCount) {
    reads++;
    bytes += byteCount;
  }

  /** Records that an HTTP message, or a piece of one, was parsed. */
  void recordMessage() {
    messages++;
  }

  /** Returns whether anything was read from a client's connection. */
  boolean hasReads() {
    return reads > 0;
  }

  /** Starts counting from 0 for the next pass. */
  void reset() {
    reads = 0;
    bytes = 0;
    messages = 0;
  }

  /** Describes the input of the pass for the log, as {@code key=value} pairs. */
  String describe() {
    return String.format(
        Locale.ROOT, "client_reads=%d client_bytes=%d client_messages=%d", reads, bytes, messages);
  }
}
