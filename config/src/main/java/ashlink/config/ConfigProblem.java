package ashlink.config;

/**
 * What is wrong at one place of a settings file.
 *
 * @param setting path of the setting from the top of the file, empty for errors of form
 * @param value the value as it stands
 * @param accepted what would be accepted there
 */
public record ConfigProblem(
        String file, int line, int column, String setting, String value, String accepted) {

    @Override
    public String toString() {
        String what = setting.isEmpty() ? "" : " setting " + setting + ":";
        String found = value.isEmpty() ? "" : " " + value + " is not accepted;";
        return file + ":" + line + ":" + column + ":" + what + found + " accepted: " + accepted;
    }
}
