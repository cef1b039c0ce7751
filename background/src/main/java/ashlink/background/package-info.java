/**
 * Runs background work beside the service: threads, budgets and an orderly stop. What runs when is
 * decided by {@link ashlink.background.plan.Planner}.
 */
package ashlink.background;
