/**
 * The HTTP API: clients post a statement and fetch its result page by page. This package submits
 * the statements to the router core and renders results as JSON, CSV or JSON lines. The package
 * {@code statement} holds the rules for the lifecycle of statements and the retention of results.
 */
package ashlink.router.http;
