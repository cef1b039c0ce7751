package ashlink.config;

import java.util.List;

/** A node of a parsed settings file and its position; lines and columns are counted from 1. */
sealed interface Node {

    /** Longest excerpt of the file in an error message, in characters. */
    int MAX_EXCERPT_CHARS = 60;

    int line();

    int column();

    /** A word, or the content of a quoted string. */
    record Atom(String text, int line, int column) implements Node {}

    /** A list; the list of a setting starts with the name of the setting. */
    record Form(List<Node> items, int line, int column) implements Node {

        /** Returns the first word of the list, or an empty text if the list starts with no word. */
        String head() {
            return !items.isEmpty() && items.get(0) instanceof Atom atom ? atom.text() : "";
        }
    }

    /** Returns an excerpt of the node for error messages. */
    default String excerpt() {
        String text =
                this instanceof Atom atom ? atom.text() : "(" + ((Form) this).head() + " ...)";
        return text.length() > MAX_EXCERPT_CHARS
                ? text.substring(0, MAX_EXCERPT_CHARS) + "..."
                : text;
    }
}
