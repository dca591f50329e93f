package tidebank.errors;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** The properties that all instances of an error condition share. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface ErrorCondition {
  /** Returns the code, such as TB-1001, which is the same in all releases. */
  String code();

  /** Returns whether a retry can succeed. */
  TidebankException.Retry retry();

  /** Returns what an operator can do: a command to run, or a setting or file to change. */
  String advice();
}
