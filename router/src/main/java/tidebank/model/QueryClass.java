package tidebank.model;

/**
 * One row of the table of table types. Shares are of weight; {@code completeWeight} makes a whole
 * answer, {@code minimumWeight} is the least that any answer needs, and {@code secondStageRequests}
 * counts the parts that a first answer brings on.
 */
public record QueryClass(
    String name,
    Idempotency idempotency,
    long idempotencyWindowUs,
    long latencyObjectiveUs,
    long timeoutUs,
    double lateWeight,
    double minimumWeight,
    double completeWeight,
    int secondStageRequests) {}
