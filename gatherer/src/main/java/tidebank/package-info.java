/** The decisions ({@link tidebank.Brain}) and the command line ({@link tidebank.Main}). */
package tidebank;
