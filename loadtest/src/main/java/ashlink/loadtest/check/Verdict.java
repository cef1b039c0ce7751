package ashlink.loadtest.check;

import java.util.List;

/**
 * The result of checking one invariant.
 *
 * @param rule name of the invariant
 * @param atStake number of cases in which the invariant could have been violated; with 0 cases the
 *     check proves nothing and fails
 * @param broken descriptions of the violations
 */
public record Verdict(String rule, int atStake, List<String> broken) {

    /** Returns whether the invariant was exercised and not violated. */
    public boolean isKept() {
        return atStake > 0 && broken.isEmpty();
    }
}
