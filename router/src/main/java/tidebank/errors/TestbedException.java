package tidebank.errors;

import java.io.Serial;
import java.util.List;
import tidebank.errors.TidebankException.Retry;

/** Error conditions of the testbed. */
public abstract sealed class TestbedException extends TidebankException {
  @Serial private static final long serialVersionUID = 1L;

  private TestbedException(String message) {
    super(message);
  }

  /** No chaos script file or built-in chaos script has this name. */
  @ErrorCondition(
      code = "TB-1201",
      retry = Retry.NO,
      advice =
          "Give the path of a script file, or one of the names that tidebank chaos list"
              + " shows.")
  public static final class ScriptUnknown extends TestbedException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public ScriptUnknown(String name, List<String> builtInNames) {
      super(
          "'"
              + name
              + "' is neither a file nor a script; the scripts are "
              + String.join(", ", builtInNames));
    }
  }

  /** The folder does not contain a recorded chaos run. */
  @ErrorCondition(
      code = "TB-1202",
      retry = Retry.NO,
      advice =
          "Give the folder of a run as printed by tidebank chaos run. Runs that passed"
              + " leave no folder unless --keep is given.")
  public static final class RunUnknown extends TestbedException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public RunUnknown(String folder) {
      super(folder + " does not contain the verdict of a chaos run");
    }
  }
}
