/**
 * The workload manager: admission, engine selection, retries, engine health and the feedback
 * control of concurrency limits. The package performs no I/O, reads no clock and uses no unseeded
 * randomness; {@link ashlink.decisions.api} is its interface.
 *
 * <p>{@link ashlink.decisions.DefaultWorkloadManager} dispatches the events to the components that
 * {@link ashlink.decisions.WorkloadManagerComponents} wires. A query passes through them in this
 * order:
 *
 * <ol>
 *   <li>{@link ashlink.decisions.SubmissionHandler} determines its expected work and its priority
 *       weight ({@link ashlink.decisions.TenantQuota}) and adds it to the {@link
 *       ashlink.decisions.AdmissionQueue};
 *   <li>{@link ashlink.decisions.QueryDispatcher} starts an attempt on the engine that the {@link
 *       ashlink.decisions.EndpointSelector} selects among the engines that pass {@link
 *       ashlink.decisions.DispatchEligibility}, {@link ashlink.decisions.OutlierDetector} and
 *       {@link ashlink.decisions.ConcurrencyLimiter};
 *   <li>{@link ashlink.decisions.AttemptHandler} handles the progress and the end of the attempt.
 *       The end updates the models ({@link ashlink.decisions.ResponseTimeModel}, {@link
 *       ashlink.decisions.ConcurrencyFeedback}) and leads to a retry ({@link
 *       ashlink.decisions.RetryPolicy}) or completes the query;
 *   <li>{@link ashlink.decisions.QueryCompletion} sends the final answer to a query that no engine
 *       served, {@link ashlink.decisions.LoadSheddingPolicy} sheds queries that would be late.
 * </ol>
 *
 * <p>The workload manager keeps seven invariants. The comments of the classes refer to them by
 * these names:
 *
 * <ul>
 *   <li>"single final answer": each query has exactly one final answer, sent before the client
 *       stops waiting ({@link ashlink.decisions.QueryCompletion}, {@link
 *       ashlink.decisions.DispatchEligibility});
 *   <li>"no duplicate effects": no query takes effect twice ({@link ashlink.decisions.RetryPolicy},
 *       {@link ashlink.decisions.AttemptCanceller});
 *   <li>"drain": no new attempts on draining engines ({@link ashlink.decisions.EngineState});
 *   <li>"slow start": warming engines are not overloaded ({@link ashlink.decisions.SlowStart});
 *   <li>"key ordering": queries with the same ordering key run in order ({@link
 *       ashlink.decisions.KeyOrdering});
 *   <li>"placement": queries run only on allowed kinds of engine and in allowed zones ({@link
 *       ashlink.decisions.DispatchEligibility});
 *   <li>"retry budget": attempts stay within the limits per query and per window ({@link
 *       ashlink.decisions.RetryBudget}, {@link ashlink.decisions.RetryPolicy}).
 * </ul>
 *
 * <p>No class is thread-safe: a router delivers its events one at a time. All times are in
 * nanoseconds on the router's monotonic clock and are passed in with the events.
 */
package ashlink.decisions;
