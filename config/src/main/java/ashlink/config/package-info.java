/**
 * Settings files: S-expressions that are read into validated records. The readers of this package
 * map the words of a file to types. A reader reports all problems of a file at once.
 */
package ashlink.config;
