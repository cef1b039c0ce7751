/** HTTP client of the statement API. */
package ashlink.client;
