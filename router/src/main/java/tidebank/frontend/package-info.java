/** The clients' side: HTTP in, one answer for each scan out. */
package tidebank.frontend;
