/**
 * Runs background tasks beside the service on threads of their own, within resource budgets and
 * with an orderly shutdown. {@link ashlink.background.plan.Planner} decides which task runs when.
 */
package ashlink.background;
