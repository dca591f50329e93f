package tidebank.lab.trace.layout;

/**
 * Why a line is no request: rejected (it is bad), or left out (it is good, but tells of something
 * else).
 */
public final class Fault extends Exception {
  private static final long serialVersionUID = 1L;
  private final boolean bad;

  private Fault(String cause, boolean bad) {
    super(cause, null, false, false);
    this.bad = bad;
  }

  public static Fault reject(String cause) {
    return new Fault(cause, true);
  }

  public static Fault leaveOut(String cause) {
    return new Fault(cause, false);
  }

  public boolean bad() {
    return bad;
  }
}
