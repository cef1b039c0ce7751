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
        String path = setting.isEmpty() ? "" : " setting " + setting + ":";
        String found = value.isEmpty() ? "" : " " + value + " is not accepted;";
        return file + ":" + line + ":" + column + ":" + path + found + " accepted: " + accepted;
    }
}
