/**
 * The client side of the shard protocol: carries out attempts on connections to shard servers and
 * reports the outcome of each.
 *
 * <p>{@link tidebank.backend.ShardClient} is the entry point. It keeps one {@link
 * tidebank.backend.ConnectionPool} for each shard server. Attempts that the policy sends to one
 * server in the same decision round share a {@link tidebank.backend.RequestBatch}, which is one
 * frame on one {@link tidebank.backend.ShardConnection}. {@link tidebank.backend.FrameCodec} is the
 * only class that knows the contents of frames.
 *
 * <p>All state belongs to the router's event loop: no class of this package may be called from
 * another thread, and none of them uses locks. Decisions (which server, when to retry, when a
 * server is ejected) are made by the policy; this package only reports outcomes to it. Start
 * reading at {@link tidebank.backend.ShardClient#send} and follow an attempt to {@link
 * tidebank.backend.ConnectionPool#complete}.
 */
package tidebank.backend;
