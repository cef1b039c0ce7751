/** A router as a whole: assembles its parts, and starts, reloads and stops them. */
package ashlink.router;
