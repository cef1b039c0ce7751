/** Router process: creates the components, and starts, reloads and stops them. */
package ashlink.router;
