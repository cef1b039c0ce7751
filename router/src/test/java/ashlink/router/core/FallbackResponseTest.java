package ashlink.router.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the final response of a request for which the decision module provides none. */
class FallbackResponseTest {

    private static QueryClass queryClass(RetrySafety retrySafety, DeduplicationScope scope) {
        return new QueryClass(
                "query",
                1,
                1,
                1,
                retrySafety,
                scope,
                0,
                1,
                0,
                false,
                Set.of(),
                Set.of(),
                1,
                false,
                false);
    }

    @Test
    void requestThatCannotHaveRunMayBeRejected() {
        for (RetrySafety retrySafety : RetrySafety.values()) {
            for (DeduplicationScope scope : DeduplicationScope.values()) {
                assertTrue(FallbackResponse.mayReject(queryClass(retrySafety, scope), false));
            }
        }
        assertTrue(FallbackResponse.mayReject(null, false));
    }

    @Test
    void requestThatMayHaveRunMayBeRejectedOnlyIfRetryIsSafe() {
        for (RetrySafety retrySafety : RetrySafety.values()) {
            for (DeduplicationScope scope : DeduplicationScope.values()) {
                boolean isRetrySafe =
                        retrySafety == RetrySafety.IDEMPOTENT
                                || retrySafety == RetrySafety.DEDUPLICATED
                                        && scope == DeduplicationScope.ALL;
                assertEquals(
                        isRetrySafe,
                        FallbackResponse.mayReject(queryClass(retrySafety, scope), true),
                        retrySafety + " " + scope);
            }
        }
    }

    @Test
    void requestOfUnknownClassThatMayHaveRunIsNotRejected() {
        assertFalse(FallbackResponse.mayReject(null, true));
    }
}
