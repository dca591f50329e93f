/**
 * What the decisions take in, give out and remember: plain data, free of any transport and of any
 * decision.
 */
package tidebank.model;
