package ashlink.loadtest.check;

import java.util.List;

/**
 * What is found of one rule.
 *
 * @param atStake cases in which it could have been broken; 0 proves nothing, and fails
 * @param broken what broke it
 */
public record Verdict(String rule, int atStake, List<String> broken) {

    /** True if it was at stake and kept. */
    public boolean isKept() {
        return atStake > 0 && broken.isEmpty();
    }
}
