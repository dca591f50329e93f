package tidebank.model;

/**
 * A class of queries with the same requirements. Times are microseconds, weights are shares of the
 * weight of a query's stage.
 *
 * @param name its name
 * @param idempotency whether its shard requests may be executed more than once
 * @param idempotencyWindowUs how long servers remember an idempotency key
 * @param latencyObjectiveUs within what time an answer has its full value
 * @param timeoutUs how long clients wait, over all their tries
 * @param lateWeight the share of its value that an answer has after the latency objective
 * @param minimumWeight the least that any answer needs
 * @param completeWeight what makes an answer complete
 * @param secondStageRequests how many shard requests a first answer is followed by, or 0
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
