/**
 * Fleets under faults: processes and the links between them are broken by scripts, what everybody
 * asked for and got is written down outside of the processes, and checked against the rules.
 */
package tidebank.testbed.chaos;
