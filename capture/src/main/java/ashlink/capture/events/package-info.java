/**
 * The entries of a capture and their stored form: events, actions and settings of {@link
 * ashlink.decisions.api}. The stored form is part of the file format; docs/capture-format.md
 * describes it.
 */
package ashlink.capture.events;
