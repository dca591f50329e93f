/**
 * The decisions ({@link tidebank.policy.RoutingPolicy}) and the command line ({@link
 * tidebank.Main}).
 */
package tidebank;
