/**
 * Captures of the events and actions of a decision module: recording, reading, replay, and what is
 * derived from them.
 */
package ashlink.capture;
