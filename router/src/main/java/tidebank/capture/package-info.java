/**
 * What the module was told and answered, turn by turn, on disk: format, recorder, reader. Knows of
 * the model only.
 */
package tidebank.capture;
