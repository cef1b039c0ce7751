package ashlink.loadtest.check;

import java.util.List;

/**
 * The result of checking one invariant.
 *
 * @param rule name of the invariant
 * @param exercisedCases number of cases in which the invariant could have been violated; with 0
 *     cases the check proves nothing and fails
 * @param violations descriptions of the violations
 */
public record Verdict(String rule, int exercisedCases, List<String> violations) {

    /** Returns whether the invariant was exercised and not violated. */
    public boolean isSatisfied() {
        return exercisedCases > 0 && violations.isEmpty();
    }
}
