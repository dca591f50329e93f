/**
 * Reads the environment, the configuration files and the settings, checks them and applies the
 * defaults. No other package reads them.
 *
 * <p>{@link tidebank.config.RouterConfig} is the configuration that the platform starts a router
 * with: a JSON file and environment variables. {@link tidebank.config.OperatorConfig} is the TOML
 * file of the operator. {@link tidebank.config.Toml} reads TOML files, checks their keys and values
 * and collects all faults. {@link tidebank.config.JsonFields} reads single fields of JSON objects.
 * Faults are thrown as a {@link tidebank.config.MalformedInputException} with a message that names
 * the key, the value found and the value expected.
 *
 * <p>All configurations are immutable and may be used on any thread. The entry point is {@link
 * tidebank.config.RouterConfig#read}.
 */
package tidebank.config;
