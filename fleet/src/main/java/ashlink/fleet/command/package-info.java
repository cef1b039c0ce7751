/**
 * What operators want of engines and routers, as notices whose order of arrival does not matter.
 * Without I/O, clock or randomness.
 */
package ashlink.fleet.command;
