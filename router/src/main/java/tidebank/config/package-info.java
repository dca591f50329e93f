/**
 * Reads, checks and defaults the environment, the configuration files and the settings. No other
 * package reads them.
 *
 * <p>{@link tidebank.config.RouterConfig} is what the platform starts a router with: a JSON file
 * and environment variables. {@link tidebank.config.OperatorConfig} is the operator's own TOML
 * file. {@link tidebank.config.Toml} reads TOML files by a checked description of their keys and
 * collects all faults, and {@link tidebank.config.JsonFields} reads single fields of JSON objects.
 * Every fault is a {@link tidebank.config.MalformedInputException} whose message names the key,
 * what was found and what is expected.
 *
 * <p>All results are immutable and may be used on any thread. Start reading at {@link
 * tidebank.config.RouterConfig#read}.
 */
package tidebank.config;
