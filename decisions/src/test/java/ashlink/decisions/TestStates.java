package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;

import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.QueryClass;

/** Creates the states of queries and engines for the tests of single classes. */
final class TestStates {

    static final long NOW_NS = 100_000 * MS;
    static final double ESTIMATE_MS = 100;

    private TestStates() {}

    /** Returns a query of 100 ms and 100 MB that is submitted now, with a deadline in 20 s. */
    static QueryState query(long id, QueryClass queryClass) {
        return query(id, new QueryClassStatistics(queryClass), null);
    }

    static QueryState query(long id, QueryClassStatistics statistics) {
        return query(id, statistics, null);
    }

    static QueryState query(long id, QueryClassStatistics statistics, KeyQueue keyQueue) {
        return query(id, statistics, keyQueue, ESTIMATE_MS, statistics.queryClass.priorityWeight());
    }

    static QueryState query(
            long id,
            QueryClassStatistics statistics,
            KeyQueue keyQueue,
            double estimateMs,
            double weight) {
        return new QueryState(
                submitted(id, statistics.queryClass.name(), null),
                statistics,
                keyQueue,
                id,
                estimateMs,
                weight,
                NOW_NS);
    }

    /** Returns the same query for another table group. */
    static QueryState queryOfGroup(QueryClass queryClass, long tableGroup) {
        return new QueryState(
                submitted(1, queryClass.name(), null, tableGroup),
                new QueryClassStatistics(queryClass),
                null,
                1,
                ESTIMATE_MS,
                queryClass.priorityWeight(),
                NOW_NS);
    }

    static QuerySubmitted submitted(long id, String queryClass, String key) {
        return submitted(id, queryClass, key, 1);
    }

    private static QuerySubmitted submitted(
            long id, String queryClass, String key, long tableGroup) {
        return new QuerySubmitted(
                id,
                queryClass,
                key,
                tableGroup,
                NOW_NS + 20_000 * MS,
                (long) (ESTIMATE_MS * MS),
                100);
    }

    /** Returns a ready engine with four cores and 8,000 MB, without load. */
    static EngineState engine(String name) {
        EngineState engine = new EngineState(name);
        engine.endpoint = RouterHarness.readyEndpoint(name);
        engine.cores = 4;
        engine.memoryMb = 8_000;
        return engine;
    }

    /** Starts an attempt of the query on the engine. */
    static void start(QueryState query, EngineState engine, long nowNs) {
        query.startAttempt(engine, nowNs);
        engine.runningQueries.add(query);
        engine.addLoad(query);
    }

    /** Returns the end of a served attempt. */
    static AttemptEnded served(QueryState query, long durationMs) {
        return new AttemptEnded(
                query.id,
                query.attempts - 1,
                "a",
                Outcome.SERVED,
                durationMs * MS,
                true,
                0,
                0,
                LoadReport.NONE);
    }
}
