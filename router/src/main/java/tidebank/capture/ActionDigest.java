package tidebank.capture;

import java.util.List;
import tidebank.model.Action;

/** The digest over a turn's actions, as captures hold it. */
public final class ActionDigest {
  private ActionDigest() {}

  public static int of(List<Action> actions) {
    return CaptureCodec.digest(actions);
  }
}
