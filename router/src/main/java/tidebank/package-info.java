/**
 * The command line ({@link tidebank.Main}) of the query router. Its routing decisions are made by
 * {@link tidebank.policy.RoutingPolicy}.
 */
package tidebank;
