package ashlink.config;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown for an invalid settings file, with all problems of the file. */
public final class ConfigException extends Exception {

    private final transient List<ConfigProblem> problems;

    /** Creates an exception with the given problems, of which there must be at least one. */
    public ConfigException(List<ConfigProblem> problems) {
        super(problems.stream().map(ConfigProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems in the order in which they were found. */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
