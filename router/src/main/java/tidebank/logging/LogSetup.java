package tidebank.logging;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures Logback at its start; found by it as a service. Leaves it to others in a process whose
 * log is not configured by {@link Log}, such as the command line tools.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
  @Override
  public ExecutionStatus configure(LoggerContext context) {
    if (!Log.isUsedForProcess()) {
      return ExecutionStatus.INVOKE_NEXT_IF_ANY;
    }
    Log.configure(context, Log.Settings.DEFAULT);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
