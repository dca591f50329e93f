package tidebank.logging;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * The Logback configurator, loaded as a service at startup. Defers to the next configurator in a
 * process that does not use {@link Log}, such as the command line tools.
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
