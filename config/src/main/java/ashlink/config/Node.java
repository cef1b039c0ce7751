package ashlink.config;

import java.util.List;

/** A node of a parsed settings file and its place; lines and columns count from 1. */
sealed interface Node {

    /** Longest excerpt of the file in an error message, in characters. */
    int MAX_SHOWN_CHARS = 60;

    int line();

    int column();

    /** A word, or the content of a quoted text. */
    record Atom(String text, int line, int column) implements Node {}

    /** A list; that of a setting starts with its name. */
    record Form(List<Node> items, int line, int column) implements Node {

        /** Returns the word that the list starts with, or an empty text. */
        String head() {
            return !items.isEmpty() && items.get(0) instanceof Atom atom ? atom.text() : "";
        }
    }

    /** Returns an excerpt of the node for error messages. */
    default String shown() {
        String text =
                this instanceof Atom atom ? atom.text() : "(" + ((Form) this).head() + " ...)";
        return text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
    }
}
