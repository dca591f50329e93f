/** How a process logs: levels, text and JSON lines, and a limit on lines per second. */
package tidebank.logging;
