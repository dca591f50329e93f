/**
 * The simulator's wire: framing, codecs and the host that spreads a batch over the instances. No
 * decisions.
 */
package tidebank.simulation;
