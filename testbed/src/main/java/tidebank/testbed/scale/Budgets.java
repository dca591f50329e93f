package tidebank.testbed.scale;

import java.util.OptionalDouble;

/**
 * The budget of each quantity, derived from the operators' target. A router has to process one
 * change, or its first snapshot, with the bytes and processor time that it may use within the time
 * in which a change has to take effect. The target states no budget for discovery.
 */
final class Budgets {
  private static final double US_PER_S = 1e6;

  private Budgets() {}

  /** Returns the budget in the quantity's unit, or empty if the target states none. */
  static OptionalDouble of(Quantity quantity, Target target) {
    Target.Control control = target.control();
    double effectiveWithinS = target.configuration().effectiveWithinS();
    return switch (quantity) {
      case GATHERER_FIRST_LIST_BYTES, GATHERER_CHANGE_BYTES ->
          OptionalDouble.of(control.bytesPerS() * effectiveWithinS);
      case GATHERER_FIRST_LIST_CPU, GATHERER_CHANGE_CPU ->
          OptionalDouble.of(control.coreShare() * effectiveWithinS * US_PER_S);
      case GATHERER_IDLE_BYTES -> OptionalDouble.of(control.bytesPerS());
      case GATHERER_RETAINED_HEAP -> OptionalDouble.of(control.memoryBytes());
      default -> OptionalDouble.empty();
    };
  }
}
