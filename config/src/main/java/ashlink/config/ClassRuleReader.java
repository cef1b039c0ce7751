package ashlink.config;

import ashlink.config.RouterConfig.ClassRule;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Reads the rules that assign statements to query classes: {@code (rule ...)}. */
final class ClassRuleReader {

    /** Kinds of statements, under the names that the SQL reader gives them. */
    private static final Set<String> STATEMENT_KINDS =
            Set.of(
                    "read",
                    "write",
                    "load",
                    "ddl",
                    "session",
                    "transaction",
                    "administration",
                    "several",
                    "unknown");

    private static final Pattern FINGERPRINT = Pattern.compile("[0-9a-f]{32}");

    private ClassRuleReader() {}

    static List<ClassRule> rules(Section top, Set<String> classNames, Set<String> userNames) {
        List<ClassRule> rules = new ArrayList<>();
        for (Section section : top.repeatedSections("rule")) {
            try (section) {
                ClassRule rule = rule(section);
                check(rule, section, classNames, userNames);
                rules.add(rule);
            }
        }
        return rules;
    }

    private static ClassRule rule(Section section) {
        Set<String> keywords =
                section.words("keyword").stream()
                        .map(keyword -> keyword.toUpperCase(Locale.ROOT))
                        .collect(Collectors.toUnmodifiableSet());
        Set<String> fingerprints = section.words("fingerprint");
        return new ClassRule(
                section.text("class", null),
                section.words("user"),
                section.words("database"),
                keywords,
                section.words("kind"),
                section.words("table").stream()
                        .map(ClassRuleReader::tablePattern)
                        .collect(Collectors.toUnmodifiableSet()),
                fingerprints,
                section.text("setting", ""),
                section.text("value", ""));
    }

    private static void check(
            ClassRule rule, Section section, Set<String> classNames, Set<String> userNames) {
        section.checkAllOf("kind", rule.kinds(), STATEMENT_KINDS);
        if (!rule.fingerprints().stream().allMatch(FINGERPRINT.asMatchPredicate())) {
            section.reject(
                    "fingerprint",
                    "32 lower-case hexadecimal digits as printed by ./ashlink explain");
        }
        section.checkOneOf("class", rule.queryClass(), classNames);
        section.checkAllOf("user", rule.users(), userNames);
    }

    /** Converts a table name to a pattern; {@code *} matches any number of characters. */
    private static Pattern tablePattern(String word) {
        String regex =
                Arrays.stream(word.split("\\*", -1))
                        .map(Pattern::quote)
                        .collect(Collectors.joining(".*"));
        return Pattern.compile(regex);
    }
}
