package tidebank.testbed.chaos;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.lang.reflect.Method;
import org.junit.jupiter.api.Test;

/** A class that is led to another clock, and knows nothing of it. */
class SkewedClockLauncherTest {
  /** Reads the clock as any class does. */
  public static final class Reader {
    public static long now() {
      return System.nanoTime();
    }
  }

  /**
   * Loads the clock and the class that reads it anew, so that the rate of this test holds for them
   * alone.
   */
  private static final class Loader extends ClassLoader {
    Class<?> define(Class<?> one, boolean changed) throws Exception {
      try (InputStream in =
          one.getResourceAsStream("/" + one.getName().replace('.', '/') + ".class")) {
        byte[] bytes =
            changed ? SkewedClockLauncher.redirectClockCalls(in.readAllBytes()) : in.readAllBytes();
        return defineClass(one.getName(), bytes, 0, bytes.length);
      }
    }
  }

  @Test
  void aChangedClassReadsAClockOfTheGivenRate() throws Exception {
    System.setProperty("tidebank.chaos.rate", "1.5");
    try {
      Loader loader = new Loader();
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
      // Whatever the machine does in between, the rate lies between what the clock around it
      // allows.
      assertThat((second - first) / (double) (after - between)).isGreaterThanOrEqualTo(1.5 * 0.999);
      assertThat((second - first) / (double) (last - before)).isLessThanOrEqualTo(1.5 * 1.001);
    } finally {
      System.clearProperty("tidebank.chaos.rate");
    }
  }
}
