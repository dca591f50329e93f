package tidebank.backend;

import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/** Netty's framing. It tells in addition what was read beyond the last whole frame. */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {
  static final int LENGTH_BYTES = 4;

  FrameDecoder(int most) {
    super(most, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
  }

  /** Whether a frame has begun that is not whole. */
  boolean begun() {
    return actualReadableBytes() > 0;
  }
}
