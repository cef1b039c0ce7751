package ashlink.router.classify;

import ashlink.config.RouterConfig;
import ashlink.config.RouterConfig.ClassRule;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Finds classification rules that can never match. */
public final class UnreachableRules {

    private UnreachableRules() {}

    /** Returns one warning for each reason why a rule is unreachable, in the order of the rules. */
    public static List<String> of(RouterConfig config) {
        List<String> warnings = new ArrayList<>();
        List<ClassRule> rules = config.rules();
        for (int i = 0; i < rules.size(); i++) {
            int number = i + 1;
            int coveringIndex = firstCovering(rules, i);
            if (coveringIndex >= 0) {
                warnings.add(
                        "rule "
                                + number
                                + " can never match: rule "
                                + (coveringIndex + 1)
                                + " matches every statement that rule "
                                + number
                                + " matches");
            }
            if (isContradictory(rules.get(i))) {
                warnings.add("rule " + number + " can never match: the kind load requires INSERT");
            }
        }
        return warnings;
    }

    /**
     * Returns the index of the first earlier rule that matches every statement that the rule at an
     * index matches, or -1 if there is none.
     */
    private static int firstCovering(List<ClassRule> rules, int index) {
        for (int i = 0; i < index; i++) {
            if (covers(rules.get(i), rules.get(index))) {
                return i;
            }
        }
        return -1;
    }

    private static boolean isContradictory(ClassRule rule) {
        return rule.kinds().equals(Set.of("load"))
                && !rule.keywords().isEmpty()
                && !rule.keywords().contains("INSERT");
    }

    private static boolean covers(ClassRule wide, ClassRule narrow) {
        return covers(wide.users(), narrow.users())
                && covers(wide.databases(), narrow.databases())
                && covers(wide.keywords(), narrow.keywords())
                && covers(wide.kinds(), narrow.kinds())
                && covers(wide.fingerprints(), narrow.fingerprints())
                && covers(regexes(wide.tables()), regexes(narrow.tables()))
                && (wide.setting().isEmpty()
                        || wide.setting().equals(narrow.setting())
                                && (wide.value().isEmpty() || wide.value().equals(narrow.value())));
    }

    private static Set<String> regexes(Set<Pattern> patterns) {
        return patterns.stream().map(Pattern::pattern).collect(Collectors.toSet());
    }

    /**
     * Returns whether one condition includes another; an empty condition matches every statement.
     */
    private static boolean covers(Set<String> wide, Set<String> narrow) {
        return wide.isEmpty() || !narrow.isEmpty() && wide.containsAll(narrow);
    }
}
