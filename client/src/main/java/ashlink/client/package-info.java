/** A client of the statement API over HTTP. */
package ashlink.client;
