/**
 * Entries of a capture and their binary encoding: events, actions and settings of {@link
 * ashlink.decisions.api}. The encoding is part of the file format, which docs/capture-format.md
 * specifies.
 */
package ashlink.capture.events;
