package tidebank.testbed.scale;

/**
 * A linear fit of a quantity over a count: {@code slope * count + constant}.
 *
 * @param driver the count that the fit is over
 * @param points number of values that the fit uses
 * @param sizes number of distinct counts among them
 * @param slope growth of the quantity per unit of the count
 * @param slopeLow lower bound of the slope's 95% confidence interval
 * @param slopeHigh upper bound of the slope's 95% confidence interval
 * @param constant intercept, in the quantity's unit
 * @param residual standard deviation of the values from the line, in the quantity's unit
 * @param spread range of the repeats of one size, divided by their mean, for the size at which it
 *     is widest
 * @param mean mean of all values
 * @param countLow smallest measured count
 * @param countHigh largest measured count
 * @param valueLow smallest measured value
 * @param valueHigh largest measured value
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
  /** Returns the fitted value at a size, or the mean if no growth is seen. */
  double predict(Size size) {
    return hasGrowth() ? slope * driver.count(size) + constant : mean;
  }

  /** Returns whether this fit is over the driver that its quantity is extrapolated with. */
  boolean usesQuantityDriver() {
    return driver == quantity.driver();
  }

  /** Returns whether the slope's confidence interval lies above zero. */
  boolean hasGrowth() {
    return slopeLow > 0;
  }
}
