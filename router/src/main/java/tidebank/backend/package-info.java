/** Shard servers: frames, connections and the ends of dispatches. */
package tidebank.backend;
