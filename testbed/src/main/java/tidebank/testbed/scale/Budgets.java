package tidebank.testbed.scale;

import java.util.OptionalDouble;

/**
 * What each quantity may cost, derived from the operators' figures. All that one change or one
 * whole list costs a gatherer has to fit into its budget of the time in which a change is to be in
 * force. For discovery no budget is stated.
 */
final class Budgets {
  private static final double US_PER_S = 1e6;

  private Budgets() {}

  /** In the quantity's unit; none where no figure is stated. */
  static OptionalDouble of(Quantity quantity, Target target) {
    Target.Control control = target.control();
    double inForceS = target.configuration().inForceS();
    return switch (quantity) {
      case GATHERER_FIRST_LIST_BYTES, GATHERER_CHANGE_BYTES ->
          OptionalDouble.of(control.bytesPerS() * inForceS);
      case GATHERER_FIRST_LIST_CPU, GATHERER_CHANGE_CPU ->
          OptionalDouble.of(control.coreShare() * inForceS * US_PER_S);
      case GATHERER_IDLE_BYTES -> OptionalDouble.of(control.bytesPerS());
      case GATHERER_RETAINED_HEAP -> OptionalDouble.of(control.memoryBytes());
      default -> OptionalDouble.empty();
    };
  }
}
