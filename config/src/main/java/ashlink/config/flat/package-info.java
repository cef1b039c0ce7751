/**
 * The platform's settings as flat names and values, as the simulator's wire writes them and as its
 * JSON flattens: one reader for both. Decides nothing.
 */
package ashlink.config.flat;
