/**
 * Error conditions that operators may have to act on. Each condition is an exception type with a
 * code that never changes, a message with the values involved, whether a retry can succeed, and
 * advice.
 *
 * <p>{@link tidebank.errors.TidebankException} is the root of a sealed hierarchy with one group of
 * conditions for each area. {@link tidebank.errors.ErrorCondition} is the annotation with the
 * properties that all instances of a condition share. {@link
 * tidebank.errors.TidebankException.Details} is the form in which an error is sent to another
 * process or printed.
 *
 * <p>{@code docs/errors.md} has an entry for each condition, and a test keeps the two consistent.
 * The types are immutable and may be used on any thread.
 */
package tidebank.errors;
