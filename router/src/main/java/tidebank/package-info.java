/** The decisions ({@link tidebank.RoutingPolicy}) and the command line ({@link tidebank.Main}). */
package tidebank;
