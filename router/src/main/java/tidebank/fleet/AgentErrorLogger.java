package tidebank.fleet;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.errors.TidebankException;

/** Logs a repeating error only once, until a command succeeds. Confined to the agent thread. */
final class AgentErrorLogger {
  private static final Logger LOG = LoggerFactory.getLogger(FleetAgent.class);

  private String lastCode = "";

  void log(TidebankException.Details error) {
    if (!error.code().equals(lastCode)) {
      lastCode = error.code();
      LOG.warn(error.toText().replace('\n', ' '));
    }
  }

  void succeeded() {
    lastCode = "";
  }
}
