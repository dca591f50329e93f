package tidebank.base;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Sends Netty's own log through ours; of it, only warnings and errors are worth a line. */
public final class NettyLog extends Handler {
  /** Held here, as the platform's log manager forgets a logger that nobody holds. */
  private static final Logger NETTY = Logger.getLogger("io.netty");

  static {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    NETTY.setUseParentHandlers(false);
    NETTY.setLevel(Level.WARNING);
    NETTY.addHandler(new NettyLog());
  }

  private NettyLog() {}

  /** Takes effect once, however often it is called. */
  public static void install() {
    assert NETTY.getHandlers().length == 1;
  }

  @Override
  public void publish(LogRecord entry) {
    boolean error = entry.getLevel().intValue() >= Level.SEVERE.intValue();
    Throwable cause = entry.getThrown();
    Log.write(error ? Log.Level.ERROR : Log.Level.WARN,
        entry.getLoggerName() + ": " + entry.getMessage() + (cause == null ? "" : ": " + cause));
  }

  @Override
  public void flush() {}

  @Override
  public void close() {}
}
