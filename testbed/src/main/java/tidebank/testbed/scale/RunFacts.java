package tidebank.testbed.scale;

/**
 * The profile settings of a run, and the machine that it was made on.
 *
 * @param profile file name of the profile
 * @param seed random seed of the run
 * @param repeats number of measurements of each size
 * @param listChanges number of list changes in each measurement
 * @param fixed size with both fixed counts of the profile
 */
public record RunFacts(
    String profile, long seed, int repeats, int listChanges, Size fixed, Machine machine) {}
