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

  /** Whether the same call may succeed without anybody's action. */
  public enum Retry {
    /** The call fails again. */
    NO,
    /** The call may succeed later. */
    LATER,
    /** The call may succeed at another address. */
    ELSEWHERE
  }

  /**
   * An error as it crosses a wire, where only its fields are left of it.
   *
   * @param code the condition's code
   * @param message what happened
   * @param retry whether a retry can help
   * @param advice what an operator can do
   */
  public record Details(String code, String message, Retry retry, String advice) {
    /** Returns whether these are the details of a condition of this type. */
    public boolean is(Class<? extends TidebankException> type) {
      return type.getAnnotation(ErrorCondition.class).code().equals(code);
    }

    /** Returns a text for people, one line for each field. */
    public String toText() {
      String retryText =
          switch (retry) {
            case NO -> "does not help";
            case LATER -> "later may help";
            case ELSEWHERE -> "elsewhere may help";
          };
      return "tidebank: "
          + code
          + ": "
          + message
          + "\n  trying again: "
          + retryText
          + "\n  what to do: "
          + advice;
    }
  }

  /** Creates a condition with this message. */
  protected TidebankException(String message) {
    super(message);
  }

  /** An error that another process reported; any of its conditions. */
  public static final class RequestRejected extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;
    private final transient Details details;

    /** Creates an exception with the details that were received. */
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

  /** Returns all conditions. {@link RequestRejected} is none itself, as it stands for any. */
  public static List<ErrorCondition> conditions() {
    return conditionTypes().stream().map(type -> type.getAnnotation(ErrorCondition.class)).toList();
  }

  /** Returns the types of all conditions. */
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
