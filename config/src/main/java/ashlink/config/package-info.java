/**
 * Settings files: S-expressions that are read into validated records. Reading a file reports all of
 * its problems at once. The words of the files are mapped to types in the readers of this package.
 */
package ashlink.config;
