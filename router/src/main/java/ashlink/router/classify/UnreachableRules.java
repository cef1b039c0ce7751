package ashlink.router.classify;

import ashlink.config.RouterConfig;
import ashlink.config.RouterConfig.ClassRule;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Finds rules that never decide: all that they match is matched by an earlier one, or nothing is.
 */
public final class UnreachableRules {

    private UnreachableRules() {}

    /** A warning for each such rule. */
    public static List<String> of(RouterConfig config) {
        List<String> warnings = new ArrayList<>();
        List<ClassRule> rules = config.rules();
        for (int i = 0; i < rules.size(); i++) {
            for (int j = 0; j < i; j++) {
                if (covers(rules.get(j), rules.get(i))) {
                    warnings.add(
                            "rule "
                                    + (i + 1)
                                    + " can never match: rule "
                                    + (j + 1)
                                    + " matches all that it would");
                    break;
                }
            }
            ClassRule classRule = rules.get(i);
            boolean contrary =
                    classRule.kinds().equals(Set.of("load"))
                            && !classRule.keywords().isEmpty()
                            && !classRule.keywords().contains("INSERT");
            if (contrary) {
                warnings.add("rule " + (i + 1) + " can never match: a load starts with INSERT");
            }
        }
        return warnings;
    }

    private static boolean covers(ClassRule wide, ClassRule narrow) {
        return covers(wide.users(), narrow.users())
                && covers(wide.databases(), narrow.databases())
                && covers(wide.keywords(), narrow.keywords())
                && covers(wide.kinds(), narrow.kinds())
                && covers(wide.fingerprints(), narrow.fingerprints())
                && covers(texts(wide.tables()), texts(narrow.tables()))
                && (wide.setting().isEmpty()
                        || wide.setting().equals(narrow.setting())
                                && (wide.value().isEmpty() || wide.value().equals(narrow.value())));
    }

    private static Set<String> texts(Set<Pattern> patterns) {
        return patterns.stream().map(Pattern::pattern).collect(Collectors.toSet());
    }

    /** An empty part matches all. */
    private static boolean covers(Set<String> wide, Set<String> narrow) {
        return wide.isEmpty() || !narrow.isEmpty() && wide.containsAll(narrow);
    }
}
