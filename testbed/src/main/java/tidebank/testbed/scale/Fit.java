package tidebank.testbed.scale;

/**
 * A straight line through points: {@code slope x count + constant}.
 *
 * @param driver what is counted
 * @param points how many values, of {@code sizes} distinct counts
 * @param slopeLow lower, {@code slopeHigh} upper end of the slope's interval, of 95 in 100
 * @param residual standard deviation of the values from the line, in the quantity's unit
 * @param spread the widest range of the repeats of one size, as a share of their mean
 * @param mean of all values
 * @param countLow least, {@code countHigh} largest count that was measured
 * @param valueLow least, {@code valueHigh} largest value that was measured
 */
public record Fit(
    Quantity quantity,
    Driver driver,
    int points,
    int sizes,
    double slope,
    double slopeLow,
    double slopeHigh,
    double constant,
    double residual,
    double spread,
    double mean,
    double countLow,
    double countHigh,
    double valueLow,
    double valueHigh) {
  /** The line's value at a size; the mean where no growth is seen. */
  double at(Size size) {
    return grows() ? slope * driver.count(size) + constant : mean;
  }

  /** Whether this is the line that its quantity is extrapolated by. */
  boolean extrapolates() {
    return driver == quantity.driver();
  }

  /** Whether the slope's interval lies above zero. */
  boolean grows() {
    return slopeLow > 0;
  }
}
