/**
 * The workload manager: admission, engine selection, retries, health and the feedback that adjusts
 * concurrency limits. Nothing here does I/O, reads a clock or uses unseeded randomness; {@link
 * ashlink.decisions.api} is its interface.
 */
package ashlink.decisions;
