package tidebank.logging;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Found by Logback at its start. Steps aside in a process that has its log set up otherwise, such
 * as the tool box.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
  @Override
  public ExecutionStatus configure(LoggerContext context) {
    if (!Boolean.getBoolean(Log.OWN)) {
      return ExecutionStatus.INVOKE_NEXT_IF_ANY;
    }
    Log.setUp(context, Log.Settings.DEFAULT);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
