/**
 * Logging of a long-running process: Logback, configured in code because reading its XML would slow
 * down the start.
 *
 * <p>{@link tidebank.logging.Log} configures text or JSON lines on standard error. {@link
 * tidebank.logging.LogRateLimiter} bounds the lines per second and is the only state of the
 * package; it is thread-safe, because all threads log, including Netty's. {@link
 * tidebank.logging.LogSetup} is the service that Logback loads at startup.
 *
 * <p>Processes that do not use {@code Log}, such as the command line tools, are not affected.
 */
package tidebank.logging;
