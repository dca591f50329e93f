package tidebank.testbed.trace.layout;

/**
 * Why a line is no request: rejected (it is bad), or left out (it is good, but tells of something
 * else).
 */
public final class RowException extends Exception {
  private static final long serialVersionUID = 1L;
  private final boolean bad;

  private RowException(String cause, boolean bad) {
    super(cause, null, false, false);
    this.bad = bad;
  }

  public static RowException reject(String cause) {
    return new RowException(cause, true);
  }

  public static RowException leaveOut(String cause) {
    return new RowException(cause, false);
  }

  public boolean bad() {
    return bad;
  }
}
