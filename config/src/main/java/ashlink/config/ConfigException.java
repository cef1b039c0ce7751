package ashlink.config;

import java.util.List;
import java.util.stream.Collectors;

/** A settings file was refused whole; tells all that is wrong with it. */
public final class ConfigException extends Exception {

    private final transient List<ConfigProblem> problems;

    /** An error of that many problems, one at least. */
    public ConfigException(List<ConfigProblem> problems) {
        super(problems.stream().map(ConfigProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** All that is wrong, in the order of the file. */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
