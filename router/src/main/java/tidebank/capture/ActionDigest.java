package tidebank.capture;

import java.util.List;
import java.util.zip.CRC32C;
import tidebank.model.Action;

/** Digest over the actions of a decision round, as captures store it. */
public final class ActionDigest {
  private ActionDigest() {}

  /** Returns the CRC32C of the encoded actions: equal for equal actions in the same order. */
  public static int of(List<Action> actions) {
    CaptureEncoder encoder = new CaptureEncoder();
    for (Action action : actions) {
      encoder.writeAction(action);
    }
    CRC32C crc = new CRC32C();
    crc.update(encoder.array(), 0, encoder.length());
    return (int) crc.getValue();
  }
}
