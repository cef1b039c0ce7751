/**
 * What a module is told and does, as bytes: events, actions and settings of {@link
 * ashlink.decisions.api}.
 */
package ashlink.capture.events;
