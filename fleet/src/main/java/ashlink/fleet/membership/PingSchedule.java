package ashlink.fleet.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Chooses the order in which members are pinged: each member once per round, in a random order that
 * is drawn anew for each round. This bounds the time until a failed member is pinged. Not
 * thread-safe.
 */
final class PingSchedule {

    private final SplittableRandom random;
    private final List<String> remaining = new ArrayList<>();

    PingSchedule(SplittableRandom random) {
        this.random = random;
    }

    /**
     * Returns the next member to ping, or null if there is none.
     *
     * @param candidates supplies the members of a new round
     * @param eligible tests whether a member of the current round may still be pinged
     */
    String next(Supplier<Collection<String>> candidates, Predicate<String> eligible) {
        while (true) {
            if (remaining.isEmpty()) {
                for (String member : candidates.get()) {
                    remaining.add(random.nextInt(remaining.size() + 1), member);
                }
                if (remaining.isEmpty()) {
                    return null;
                }
            }
            String member = remaining.remove(remaining.size() - 1);
            if (eligible.test(member)) {
                return member;
            }
        }
    }
}
