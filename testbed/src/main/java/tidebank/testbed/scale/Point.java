package tidebank.testbed.scale;

/**
 * One measured value of a quantity.
 *
 * @param value in the quantity's unit
 * @param repeat number of the repeat, from 1
 * @param seed random seed of the measurement
 */
public record Point(Size size, Quantity quantity, double value, int repeat, long seed) {}
