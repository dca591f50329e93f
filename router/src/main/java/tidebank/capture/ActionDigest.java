package tidebank.capture;

import java.util.List;
import java.util.zip.CRC32C;
import tidebank.model.Action;

/** The digest of the actions of a decision round that captures store. */
public final class ActionDigest {
  private ActionDigest() {}

  /** Returns the CRC32C of the encoded actions. Equal actions in equal order have equal digests. */
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
