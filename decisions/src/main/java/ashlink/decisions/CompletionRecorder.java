package ashlink.decisions;

import ashlink.decisions.api.Event.AttemptEnded;

/** Forwards the measurements of a served attempt to the models that learn from them. */
final class CompletionRecorder {

    private final ResponseTimeModel responseTimes;
    private final OverloadDetector overload;
    private final MemoryGrantEstimator memoryGrants;

    CompletionRecorder(
            ResponseTimeModel responseTimes,
            OverloadDetector overload,
            MemoryGrantEstimator memoryGrants) {
        this.responseTimes = responseTimes;
        this.overload = overload;
        this.memoryGrants = memoryGrants;
    }

    void record(QueryState query, EngineState engine, AttemptEnded ended, long nowNs) {
        boolean overloaded = overload.isOverloaded(engine, nowNs);
        responseTimes.record(query, engine, ended, overloaded, nowNs);
        engine.limit.recordCompletion(ended.durationNs());
        memoryGrants.recordCompletion(query, ended.memoryMb());
    }
}
