/**
 * Settings and load reports as flat names and values: the form that the protocol of the simulator
 * and the flattened JSON of the platform have in common. Maps the names of both to the types of the
 * decision module.
 */
package ashlink.config.flat;
