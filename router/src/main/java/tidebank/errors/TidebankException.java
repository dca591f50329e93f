package tidebank.errors;

import java.io.IOException;
import java.io.Serial;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * An error condition that an operator may have to act on. Each condition is a final type annotated
 * with {@link ErrorCondition}; the message says what happened, with the values involved.
 */
public abstract sealed class TidebankException extends IOException
    permits MembershipException,
        CoordinatorException,
        StorageException,
        TestbedException,
        TidebankException.RequestRejected {
  @Serial private static final long serialVersionUID = 1L;

  /** Whether a retry of the same request can succeed without an operator's action. */
  public enum Retry {
    /** The request fails again. */
    NO,
    /** The request may succeed later. */
    LATER,
    /** The request may succeed at another address. */
    ELSEWHERE
  }

  /**
   * The fields of an error, as sent to other processes and shown to operators.
   *
   * @param code the code of the condition, such as TB-1001
   * @param message the description of what happened
   * @param retry whether a retry can succeed
   * @param advice the recommended action of the operator
   */
  public record Details(String code, String message, Retry retry, String advice) {
    /** Returns whether the error has the condition of this type. */
    public boolean is(Class<? extends TidebankException> type) {
      return type.getAnnotation(ErrorCondition.class).code().equals(code);
    }

    /** Returns a text for operators: a line with code and message, one on retries, the advice. */
    public String toText() {
      String retryText =
          switch (retry) {
            case NO -> "does not help";
            case LATER -> "may help later";
            case ELSEWHERE -> "may help at another address";
          };
      return "tidebank: "
          + code
          + ": "
          + message
          + "\n  retry: "
          + retryText
          + "\n  what to do: "
          + advice;
    }
  }

  /** Creates a condition with this message. */
  protected TidebankException(String message) {
    super(message);
  }

  /** An error that another process returned, of any condition. */
  public static final class RequestRejected extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;
    private final transient Details details;

    /** Creates an exception from the received details. */
    public RequestRejected(Details details) {
      super(details.message());
      this.details = details;
    }

    @Override
    public Details details() {
      return details;
    }
  }

  /** Returns the fields of this error. */
  public Details details() {
    ErrorCondition condition = getClass().getAnnotation(ErrorCondition.class);
    return new Details(condition.code(), getMessage(), condition.retry(), condition.advice());
  }

  /** Returns the condition with this code, if there is one. */
  public static Optional<ErrorCondition> findCondition(String code) {
    return conditions().stream().filter(condition -> condition.code().equals(code)).findFirst();
  }

  /** Returns all conditions. {@link RequestRejected} has none of its own. */
  public static List<ErrorCondition> conditions() {
    return conditionTypes().stream().map(type -> type.getAnnotation(ErrorCondition.class)).toList();
  }

  /** Returns the exception types of all conditions. */
  public static List<Class<?>> conditionTypes() {
    List<Class<?>> types = new ArrayList<>();
    collectConditionTypes(TidebankException.class, types);
    return types;
  }

  private static void collectConditionTypes(Class<?> type, List<Class<?>> types) {
    if (type.isAnnotationPresent(ErrorCondition.class)) {
      types.add(type);
    } else if (type.isSealed()) {
      for (Class<?> permitted : type.getPermittedSubclasses()) {
        collectConditionTypes(permitted, types);
      }
    }
  }
}
