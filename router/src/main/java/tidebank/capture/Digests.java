package tidebank.capture;

import java.util.List;
import tidebank.model.Action;

/** The digest over a turn's actions, as captures hold it. */
public final class Digests {
  private Digests() {}

  public static int of(List<Action> actions) {
    return Codec.digest(actions);
  }
}
