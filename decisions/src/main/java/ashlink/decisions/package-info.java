/**
 * The workload manager: admission, engine selection, retries, health and the feedback that adjusts
 * concurrency limits. Nothing here does I/O, reads a clock or uses unseeded randomness; {@link
 * ashlink.decisions.api} is its interface.
 *
 * <p>{@link ashlink.decisions.DefaultWorkloadManager} hands on the events, {@link
 * ashlink.decisions.DecisionModules} wires the classes. A query passes them in this order:
 *
 * <ol>
 *   <li>{@link ashlink.decisions.SubmissionHandler} gives it an expected work and a weight ({@link
 *       ashlink.decisions.TenantQuota}) and puts it into the {@link
 *       ashlink.decisions.AdmissionQueue};
 *   <li>{@link ashlink.decisions.QueryDispatcher} starts an attempt on the engine that the {@link
 *       ashlink.decisions.EndpointSelector} chooses among those that {@link
 *       ashlink.decisions.DispatchEligibility}, {@link ashlink.decisions.OutlierDetector} and
 *       {@link ashlink.decisions.ConcurrencyLimiter} leave;
 *   <li>{@link ashlink.decisions.AttemptHandler} follows the attempt; its end is measured ({@link
 *       ashlink.decisions.ResponseTimeModel}, {@link ashlink.decisions.ConcurrencyFeedback}) and
 *       leads to a retry ({@link ashlink.decisions.RetryPolicy}) or to the end of the query;
 *   <li>{@link ashlink.decisions.QueryCompletion} gives the final answer to a query that no engine
 *       served, {@link ashlink.decisions.GiveUpPolicy} gives up those that would be late.
 * </ol>
 *
 * <p>The seven rules, each named in the class that keeps it:
 *
 * <ul>
 *   <li>one final answer before the client gives up: {@link ashlink.decisions.QueryCompletion},
 *       {@link ashlink.decisions.DispatchEligibility};
 *   <li>no effect twice: {@link ashlink.decisions.RetryPolicy}, {@link
 *       ashlink.decisions.AttemptCanceller};
 *   <li>drains kept: {@link ashlink.decisions.EngineState};
 *   <li>warming engines not overloaded: {@link ashlink.decisions.SlowStart};
 *   <li>order by key: {@link ashlink.decisions.KeyOrdering};
 *   <li>placement: {@link ashlink.decisions.DispatchEligibility};
 *   <li>attempts within budget: {@link ashlink.decisions.RetryBudget}, {@link
 *       ashlink.decisions.RetryPolicy}.
 * </ul>
 *
 * <p>No class is thread-safe: a router delivers its events one at a time. All times are nanoseconds
 * on the router's monotonic clock and come in with the events.
 */
package ashlink.decisions;
