package ashlink.config;

import java.util.List;

/** A word, a text or a list, and where it stands. */
sealed interface Node {

    int line();

    int column();

    /** A word, or a text in quotes without them. */
    record Atom(String text, int line, int column) implements Node {}

    /** A list; that of a setting starts with its name. */
    record Form(List<Node> items, int line, int column) implements Node {

        /** The word that it starts with, or an empty text. */
        String head() {
            return !items.isEmpty() && items.get(0) instanceof Atom atom ? atom.text() : "";
        }
    }

    /** How the node is shown in an error: in short. */
    default String shown() {
        String text =
                this instanceof Atom atom ? atom.text() : "(" + ((Form) this).head() + " ...)";
        return text.length() > 60 ? text.substring(0, 60) + "..." : text;
    }
}
