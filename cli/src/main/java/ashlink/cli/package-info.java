/**
 * The command line. Each sub-command exits 0 for success, 1 for a failed run, 2 for a wrong call or
 * bad settings.
 */
package ashlink.cli;
