/**
 * Settings and load reports as flat lists of names and values, a representation that the simulator
 * protocol and the flattened JSON of the platform have in common. This package maps the names that
 * both use to the types of the decision module.
 */
package ashlink.config.flat;
