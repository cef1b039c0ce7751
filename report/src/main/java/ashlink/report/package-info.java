/** Renders reports as HTML pages from templates and plots. */
package ashlink.report;
