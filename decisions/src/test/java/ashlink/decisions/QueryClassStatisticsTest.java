package ashlink.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the statistics of a class with one thread per query and a latency objective of 500 ms. */
class QueryClassStatisticsTest {

    private final QueryClassStatistics statistics =
            new QueryClassStatistics(RouterHarness.shortClass("lookup"));

    /** Records response times that alternate between one and {@code ratio} times the estimate. */
    private void recordAlternatingResponses(double ratio) {
        for (int i = 0; i < 1_000; i++) {
            statistics.recordResponse(i % 2 == 0 ? 0 : Math.log(ratio), true);
        }
    }

    @Test
    void priorWorkMeetsTheObjective() {
        assertEquals(500, statistics.priorWorkMs());
        assertEquals(500, statistics.meanWorkMs());
        assertEquals(500, statistics.conservativeWorkMs());
    }

    @Test
    void meanFollowsTheEstimates() {
        statistics.recordEstimate(10);
        statistics.recordEstimate(30);
        assertEquals(20, statistics.meanWorkMs());
    }

    @Test
    void meanIsTheHigherOfEstimatedAndReportedWork() {
        statistics.recordEstimate(10);
        statistics.recordWork(40);
        assertEquals(40, statistics.meanWorkMs());
    }

    @Test
    void priorWeighsLessAsQueriesAreRecorded() {
        for (int i = 0; i < 10; i++) {
            statistics.recordEstimate(100);
        }
        assertEquals(300, statistics.conservativeWorkMs(), 1e-9);
    }

    @Test
    void estimatesAreCorrectedByTheLowerQuartile() {
        recordAlternatingResponses(4);
        assertEquals(10, statistics.correctedMs(10), 2);
    }

    @Test
    void variableResponseTimesAreLessConsistent() {
        recordAlternatingResponses(16);
        assertTrue(statistics.consistency() < 0.5);
    }

    @Test
    void similarResponseTimesAreConsistent() {
        recordAlternatingResponses(1.1);
        assertEquals(1, statistics.consistency());
    }

    @Test
    void variationIsIgnoredWhileOnlyEstimatesAreKnown() {
        recordAlternatingResponses(16);
        statistics.recordEstimate(10);
        assertEquals(1, statistics.consistency());
        statistics.recordWork(10);
        assertTrue(statistics.consistency() < 0.5);
    }

    @Test
    void firstResponseWithoutEstimateHasALargeStep() {
        statistics.recordResponse(-1, false);
        assertEquals(-0.75, statistics.expectedLog());
        statistics.recordResponse(-1, true);
        assertEquals(-0.75 - 0.05 * 0.75, statistics.expectedLog(), 1e-12);
    }
}
