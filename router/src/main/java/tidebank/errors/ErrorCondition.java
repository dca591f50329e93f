package tidebank.errors;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Describes what is the same for every instance of an error condition. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface ErrorCondition {
  /** Returns the code, which never changes. */
  String code();

  /** Returns whether a retry can help. */
  TidebankException.Retry retry();

  /** Returns what an operator can do: a command, a key, a file or a limit. */
  String advice();
}
