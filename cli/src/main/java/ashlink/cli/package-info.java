/**
 * Command line interface. Each subcommand exits with status 0 on success, 1 if the run failed, and
 * 2 for invalid arguments or settings.
 */
package ashlink.cli;
