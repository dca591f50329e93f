/**
 * The client of discovery: obtains the list of shard servers, watches it for changes and hands each
 * update to the policy.
 *
 * <p>{@link tidebank.discovery.DiscoveryClient} holds the state of the watch: the version that is
 * known, the call that is outstanding and the timers that bound it. {@link
 * tidebank.discovery.DiscoveryConnection} makes the HTTP calls, and {@link
 * tidebank.discovery.EndpointListParser} reads their bodies. How long a call may wait and how long
 * to back off is decided by {@link tidebank.policy.WatchTimings}; when to start a watch again after
 * a loss is decided by the policy, except where changes are pushed.
 *
 * <p>All state belongs to the router's event loop. Start reading at {@link
 * tidebank.discovery.DiscoveryClient#watch}.
 */
package tidebank.discovery;
