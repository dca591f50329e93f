/** The list of shard servers: fetched once, then watched. */
package tidebank.discovery;
