package ashlink.config;

/**
 * A problem at one position of a settings file.
 *
 * @param file name of the file
 * @param line line of the value, counted from 1
 * @param column column of the value, counted from 1
 * @param setting path of the setting from the top of the file; empty for a problem of the file as a
 *     whole, such as a syntax error
 * @param value the value as written; without a setting, a description of the problem
 * @param accepted description of the accepted values
 */
public record ConfigProblem(
        String file, int line, int column, String setting, String value, String accepted) {

    @Override
    public String toString() {
        String prefix = file + ":" + line + ":" + column + ": ";
        if (setting.isEmpty()) {
            return prefix + value + ": expected " + accepted;
        }
        String found = value.isEmpty() ? "" : "found " + value + ", ";
        return prefix + "invalid setting " + setting + ": " + found + "expected " + accepted;
    }
}
