/**
 * The one place where the environment, the configuration file and the settings are read, checked
 * and defaulted.
 */
package tidebank.config;
