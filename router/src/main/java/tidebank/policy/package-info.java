/**
 * The routing decisions and their state. Pure: no I/O, threads or clock. Start reading at {@link
 * tidebank.policy.RoutingPolicy}.
 */
package tidebank.policy;
