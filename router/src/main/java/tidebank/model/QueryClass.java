package tidebank.model;

/**
 * One row of the table of table types. Shares are of weight; {@code need} makes a whole answer,
 * {@code floor} is the least that any answer needs, and {@code secondStep} counts the parts that a
 * first answer brings on.
 */
public record QueryClass(
    String name,
    Idempotency repeat,
    long windowUs,
    long targetUs,
    long timeoutUs,
    double lateBenefit,
    double floor,
    double need,
    int secondStep) {}
