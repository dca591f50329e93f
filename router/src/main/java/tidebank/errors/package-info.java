/**
 * Conditions that operators and other processes can meet, each a type with a stable code, whether a
 * retry can help, and advice.
 */
package tidebank.errors;
