package ashlink.router.core;

import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;

/**
 * What a request is told where the module cannot be asked any more: it has thrown, its answer is
 * overdue, or the router stops. The same line that the module draws, on the safe side.
 */
final class FallbackResponse {

    private FallbackResponse() {}

    /** True where trying again is harmless: a refusal; else a failure, which promises nothing. */
    static boolean refuse(QueryClass queryClass, boolean mayHaveRun) {
        return !mayHaveRun
                || queryClass != null
                        && (queryClass.retrySafety() == RetrySafety.IDEMPOTENT
                                || queryClass.retrySafety() == RetrySafety.DEDUPLICATED
                                        && queryClass.deduplicationScope()
                                                == DeduplicationScope.ALL);
    }
}
