/**
 * The client of discovery: obtains the list of shard servers, watches it for changes and hands each
 * update to the policy.
 *
 * <p>{@link tidebank.discovery.DiscoveryClient} holds the state of the watch: the known version,
 * the outstanding call and its timers. {@link tidebank.discovery.DiscoveryConnection} makes the
 * HTTP calls, and {@link tidebank.discovery.EndpointListParser} parses their bodies. {@link
 * tidebank.policy.WatchTimings} determines how long a call may wait and how long to back off. The
 * policy decides when to restart a lost watch, unless changes are pushed.
 *
 * <p>All state belongs to the router's event loop. Start reading at {@link
 * tidebank.discovery.DiscoveryClient#watch}.
 */
package tidebank.discovery;
