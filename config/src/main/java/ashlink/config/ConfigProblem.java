package ashlink.config;

/**
 * A problem at one place of a settings file.
 *
 * @param file name of the file
 * @param line line of the value, from 1
 * @param column column of the value, from 1
 * @param setting path of the setting from the top of the file, empty for a syntax error
 * @param value the value as written
 * @param accepted description of the values accepted there
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
