/**
 * The error conditions that operators meet. Each condition is a type with a code that never
 * changes, a message with the values involved, whether a retry can help, and advice.
 *
 * <p>{@link tidebank.errors.TidebankException} is the root of a sealed hierarchy with one group of
 * conditions for each concern. {@link tidebank.errors.ErrorCondition} is the annotation that holds
 * what is the same for every instance of a condition. {@link
 * tidebank.errors.TidebankException.Details} is the form in which a condition crosses a wire or is
 * printed.
 *
 * <p>{@code docs/errors.md} has an entry for each condition, and a test keeps the two consistent.
 * The types are immutable and may be used on any thread.
 */
package tidebank.errors;
