/**
 * What a module is told and does, as bytes: events, actions and settings of {@link
 * ashlink.Gateway}.
 */
package ashlink.capture.events;
