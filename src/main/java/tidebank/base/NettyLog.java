package tidebank.base;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.MessageFormatter;
import tidebank.base.Log.Level;

/** Sends Netty's own log through ours; of it, only warnings and errors are worth a line. */
public final class NettyLog extends InternalLoggerFactory {
  public static void install() {
    InternalLoggerFactory.setDefaultFactory(new NettyLog());
  }

  @Override
  protected InternalLogger newInstance(String name) {
    return new Lines(name);
  }

  private static final class Lines extends AbstractInternalLogger {
    private static final long serialVersionUID = 1L;

    Lines(String name) {
      super(name);
    }

    private void put(Level level, String text, Throwable cause) {
      Log.write(level, name() + ": " + text + (cause == null ? "" : ": " + cause));
    }

    private void put(Level level, String format, Object... args) {
      if (Log.writes(level)) {
        var filled = MessageFormatter.arrayFormat(format, args);
        put(level, filled.getMessage(), filled.getThrowable());
      }
    }

    @Override
    public boolean isTraceEnabled() {
      return false;
    }

    @Override
    public void trace(String msg) {}

    @Override
    public void trace(String format, Object arg) {}

    @Override
    public void trace(String format, Object a, Object b) {}

    @Override
    public void trace(String format, Object... args) {}

    @Override
    public void trace(String msg, Throwable cause) {}

    @Override
    public boolean isDebugEnabled() {
      return false;
    }

    @Override
    public void debug(String msg) {}

    @Override
    public void debug(String format, Object arg) {}

    @Override
    public void debug(String format, Object a, Object b) {}

    @Override
    public void debug(String format, Object... args) {}

    @Override
    public void debug(String msg, Throwable cause) {}

    @Override
    public boolean isInfoEnabled() {
      return false;
    }

    @Override
    public void info(String msg) {}

    @Override
    public void info(String format, Object arg) {}

    @Override
    public void info(String format, Object a, Object b) {}

    @Override
    public void info(String format, Object... args) {}

    @Override
    public void info(String msg, Throwable cause) {}

    @Override
    public boolean isWarnEnabled() {
      return Log.writes(Level.WARN);
    }

    @Override
    public void warn(String msg) {
      put(Level.WARN, msg, (Throwable) null);
    }

    @Override
    public void warn(String format, Object arg) {
      put(Level.WARN, format, new Object[] {arg});
    }

    @Override
    public void warn(String format, Object a, Object b) {
      put(Level.WARN, format, new Object[] {a, b});
    }

    @Override
    public void warn(String format, Object... args) {
      put(Level.WARN, format, args);
    }

    @Override
    public void warn(String msg, Throwable cause) {
      put(Level.WARN, msg, cause);
    }

    @Override
    public boolean isErrorEnabled() {
      return true;
    }

    @Override
    public void error(String msg) {
      put(Level.ERROR, msg, (Throwable) null);
    }

    @Override
    public void error(String format, Object arg) {
      put(Level.ERROR, format, new Object[] {arg});
    }

    @Override
    public void error(String format, Object a, Object b) {
      put(Level.ERROR, format, new Object[] {a, b});
    }

    @Override
    public void error(String format, Object... args) {
      put(Level.ERROR, format, args);
    }

    @Override
    public void error(String msg, Throwable cause) {
      put(Level.ERROR, msg, cause);
    }
  }
}
