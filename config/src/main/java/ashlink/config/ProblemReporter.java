package ashlink.config;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * Adds the problems of one section of a settings file to the list of all problems of the file.
 *
 * @param file name of the file in error messages
 * @param path path of the section from the top of the file, with the parts separated by dots
 * @param problems list to which the problems are added in the order of detection
 */
record ProblemReporter(String file, String path, List<ConfigProblem> problems) {

    private static final int MAX_SUGGESTION_DISTANCE = 4;
    private static final LevenshteinDistance DISTANCE =
            new LevenshteinDistance(MAX_SUGGESTION_DISTANCE);

    /** Returns the reporter of the section {@code name} within the section of this reporter. */
    ProblemReporter nested(String name) {
        return new ProblemReporter(file, settingPath(name), problems);
    }

    /** Reports an invalid value of the setting {@code name}. */
    void invalidValue(Node value, String name, String accepted) {
        report(value, settingPath(name), value.excerpt(), accepted);
    }

    /** Reports a node that is not allowed in the section. */
    void unexpectedNode(Node node, String accepted) {
        report(node, path, node.excerpt(), accepted);
    }

    /** Reports that the required setting {@code name} is missing in {@code section}. */
    void missingSetting(Node section, String name, String accepted) {
        report(section, settingPath(name), "nothing", accepted);
    }

    /** Reports a setting with an unknown name and suggests the known name that is most similar. */
    void unknownSetting(Node setting, String name, Set<String> knownNames) {
        report(setting, settingPath(name), name, suggestion(name, knownNames));
    }

    private void report(Node place, String setting, String value, String accepted) {
        problems.add(
                new ConfigProblem(file, place.line(), place.column(), setting, value, accepted));
    }

    private String settingPath(String name) {
        return path + "." + name;
    }

    private static String suggestion(String name, Set<String> knownNames) {
        String all =
                knownNames.isEmpty() ? "no setting" : "one of " + String.join(", ", knownNames);
        return knownNames.stream()
                .filter(candidate -> DISTANCE.apply(candidate, name) >= 0)
                .min(Comparator.comparingInt(candidate -> DISTANCE.apply(candidate, name)))
                .map(nearest -> nearest + " (closest match) or " + all)
                .orElse(all);
    }
}
