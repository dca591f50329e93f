package tidebank.backend;

import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/** Splits the byte stream into frames and reports whether an incomplete frame is buffered. */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {
  static final int LENGTH_BYTES = 4;

  FrameDecoder(int maxFrameBytes) {
    super(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
  }

  /** Returns whether bytes were read that do not form a complete frame yet. */
  boolean hasIncompleteFrame() {
    return actualReadableBytes() > 0;
  }
}
