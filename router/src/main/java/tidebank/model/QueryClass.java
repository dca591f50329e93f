package tidebank.model;

/**
 * A class of queries with the same requirements. Times are microseconds. Weights are shares of the
 * total weight of a query's stage, from 0 to 1.
 *
 * @param name name of the class
 * @param idempotency whether its shard requests may be executed more than once
 * @param idempotencyWindowUs how long servers remember an idempotency key
 * @param latencyObjectiveUs time within which an answer has its full value
 * @param timeoutUs how long clients wait in total, including their retries
 * @param lateWeight share of its value that an answer keeps after the latency objective
 * @param minimumWeight minimum weight of the answered requests for a partial answer
 * @param completeWeight minimum weight of the answered requests for a complete answer
 * @param secondStageRequests number of shard requests that follow the first answer, or 0 for a
 *     single stage
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
