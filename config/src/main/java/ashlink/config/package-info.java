/**
 * Settings files: S-expressions read whole into checked models; all errors of a file are told at
 * once.
 */
package ashlink.config;
