package tidebank.testbed.trace.layout;

/**
 * One request as its layout tells it: when, which, and the values by the layout's columns.
 *
 * @param timeUs arrival by the trace's own clock, in microseconds
 * @param identity what makes it one event (rows of the same time and identity are the same event
 *     told twice); "" if the layout has no such thing
 * @param texts the columns as text, null where empty
 * @param numbers the same as numbers, NaN where empty or a column of text
 */
public record RawRow(long timeUs, String identity, String[] texts, double[] numbers) {}
