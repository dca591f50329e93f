package tidebank.errors;

import java.io.Serial;
import java.util.List;
import tidebank.errors.TidebankException.Retry;

/** Conditions of the testbed. */
public abstract sealed class TestbedException extends TidebankException {
  @Serial private static final long serialVersionUID = 1L;

  private TestbedException(String message) {
    super(message);
  }

  /** No chaos script has this name. */
  @ErrorCondition(
      code = "TB-1201",
      retry = Retry.NO,
      advice =
          "Give the path of a script's file, or one of the names that tidebank chaos list shows.")
  public static final class ScriptUnknown extends TestbedException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public ScriptUnknown(String name, List<String> known) {
      super("'" + name + "' is no file and no script; there are " + String.join(", ", known));
    }
  }

  /** The folder does not hold a recorded chaos run. */
  @ErrorCondition(
      code = "TB-1202",
      retry = Retry.NO,
      advice =
          "Give the folder of a run, as tidebank chaos run named it; runs that held leave none"
              + " unless it is asked to keep them by --keep.")
  public static final class RunUnknown extends TestbedException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public RunUnknown(String folder) {
      super(folder + " holds no verdict of a run");
    }
  }
}
