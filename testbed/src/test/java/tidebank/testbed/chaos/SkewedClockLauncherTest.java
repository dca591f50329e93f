package tidebank.testbed.chaos;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.lang.reflect.Method;
import org.junit.jupiter.api.Test;

/** Tests that an unmodified class reads the skewed clock after its calls are redirected. */
class SkewedClockLauncherTest {
  /** Reads the monotonic clock by an ordinary call. */
  public static final class Reader {
    public static long now() {
      return System.nanoTime();
    }
  }

  /**
   * Loads fresh copies of the clock and of the class that reads it, because the clock reads its
   * rate only once, when it is initialized.
   */
  private static final class FreshClassLoader extends ClassLoader {
    Class<?> define(Class<?> original, boolean redirected) throws Exception {
      try (InputStream in =
          original.getResourceAsStream("/" + original.getName().replace('.', '/') + ".class")) {
        byte[] bytes =
            redirected
                ? SkewedClockLauncher.redirectClockCalls(in.readAllBytes())
                : in.readAllBytes();
        return defineClass(original.getName(), bytes, 0, bytes.length);
      }
    }
  }

  /** Guards against clock calls that bypass the skewed clock, and against a wrong rate. */
  @Test
  void redirectedClassReadsClockAtGivenRate() throws Exception {
    System.setProperty("tidebank.chaos.rate", "1.5");
    try {
      FreshClassLoader loader = new FreshClassLoader();
      Method clock = loader.define(SkewedClock.class, false).getMethod("nanoTime");
      Method reader = loader.define(Reader.class, true).getMethod("now");
      clock.invoke(null);
      long before = System.nanoTime();
      long first = (long) reader.invoke(null);
      long between = System.nanoTime();
      while (System.nanoTime() - between < 20_000_000) {
        Thread.onSpinWait();
      }
      long after = System.nanoTime();
      long second = (long) reader.invoke(null);
      long last = System.nanoTime();
      // The readings of the real clock around each call bound the rate, however slow the machine
      // is.
      assertThat((second - first) / (double) (after - between)).isGreaterThanOrEqualTo(1.5 * 0.999);
      assertThat((second - first) / (double) (last - before)).isLessThanOrEqualTo(1.5 * 1.001);
    } finally {
      System.clearProperty("tidebank.chaos.rate");
    }
  }
}
