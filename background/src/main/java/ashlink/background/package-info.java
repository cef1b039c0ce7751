/**
 * Runs background work beside the service: threads, budgets and a stop that waits. What runs when
 * is the planner's.
 */
package ashlink.background;
