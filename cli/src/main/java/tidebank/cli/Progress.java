package tidebank.cli;

import java.io.PrintStream;
import java.util.function.LongConsumer;

/** One line that tells how far long work is; nothing where the output is no terminal. */
final class Progress implements LongConsumer, AutoCloseable {
  private static final long EVERY_NANOS = 200_000_000;
  private final PrintStream out = System.err;
  private final boolean shown = System.console() != null;
  private final String what;
  private final long all;
  private final long start = System.nanoTime();
  private long last;
  private boolean any;

  /** Counting up to a number, or without an end if that is 0. */
  Progress(String what, long all) {
    this.what = what;
    this.all = all;
  }

  @Override
  public synchronized void accept(long count) {
    long now = System.nanoTime();
    if (!shown || now - last < EVERY_NANOS) {
      return;
    }
    last = now;
    any = true;
    String share = all > 0 ? String.format(" of %,d (%d%%)", all, 100 * count / all) : "";
    out.print(
        "\r" + what + String.format(" %,d%s, %d s ", count, share, (now - start) / 1_000_000_000));
    out.flush();
  }

  @Override
  public synchronized void close() {
    if (any) {
      out.print("\r\u001b[K");
      out.flush();
    }
  }
}
