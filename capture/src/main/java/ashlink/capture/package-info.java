/**
 * Captures of the events and actions of a decision module: recording, reading, replay, export,
 * summaries and timelines of single queries.
 */
package ashlink.capture;
