/** What threads do with failures that must not end them. */
package ashlink.router.failure;
