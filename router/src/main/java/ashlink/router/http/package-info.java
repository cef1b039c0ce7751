/**
 * The front that speaks HTTP: a statement is posted, its answer fetched by pages. It turns requests
 * into statements of the same core, and answers into JSON, CSV or JSON lines; what becomes of
 * statements is decided in {@code statement}.
 */
package ashlink.router.http;
