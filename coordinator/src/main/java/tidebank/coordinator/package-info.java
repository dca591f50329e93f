/** The fleet's control process: the rules of leases behind a replicated log, and HTTP in front. */
package tidebank.coordinator;
