package tidebank.capture;

import java.util.List;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Settings;

/**
 * Is told of every turn, on the loop; it must neither wait nor fail, and keeps the lists it is
 * given as they are.
 */
public interface DecisionLog {
  DecisionLog NONE =
      new DecisionLog() {
        @Override
        public void started(Settings settings, long seed) {}

        @Override
        public void turn(long nowUs, List<Event> events, List<Action> actions) {}

        @Override
        public void failed(long nowUs, List<Event> events, Throwable cause) {}
      };

  /** The module was started, or started anew. */
  void started(Settings settings, long seed);

  void turn(long nowUs, List<Event> events, List<Action> actions);

  /** The module, or the carrying out of what it wanted, failed; it is started anew after this. */
  void failed(long nowUs, List<Event> events, Throwable cause);
}
