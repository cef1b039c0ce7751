package ashlink.config;

import java.util.List;
import java.util.stream.Collectors;

/** A settings file is not accepted; carries all of its problems. */
public final class ConfigException extends Exception {

    private final transient List<ConfigProblem> problems;

    /** An exception with those problems; not empty. */
    public ConfigException(List<ConfigProblem> problems) {
        super(problems.stream().map(ConfigProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems in the order in which they were found. */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
