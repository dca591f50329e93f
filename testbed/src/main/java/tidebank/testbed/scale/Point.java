package tidebank.testbed.scale;

/**
 * One measured value.
 *
 * @param repeat from 1
 * @param seed of all chance in that measurement
 */
public record Point(Size size, Quantity quantity, double value, int repeat, long seed) {}
