/**
 * The log of a process that serves: Logback, configured in code because reading its XML would take
 * a share of the start time.
 *
 * <p>{@link tidebank.logging.Log} configures it, as text or JSON lines on standard error. {@link
 * tidebank.logging.LogRateLimiter} bounds the lines per second and is the only state of the
 * package; it is used by all threads that log, Netty's among them, and is thread-safe. {@link
 * tidebank.logging.LogSetup} is found by Logback at its start.
 *
 * <p>A process that configures its log otherwise, such as the command line tools, is left alone.
 */
package tidebank.logging;
