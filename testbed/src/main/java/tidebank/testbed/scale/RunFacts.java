package tidebank.testbed.scale;

/**
 * What a run was: its profile's figures and the machine.
 *
 * @param fixed the size that both ladders hang on
 */
public record RunFacts(
    String profile, long seed, int repeats, int listChanges, Size fixed, Machine machine) {}
