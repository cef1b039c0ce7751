package ashlink.sql;

import java.util.Locale;

/** A token and what the reader took it for. */
final class Token {

    /**
     * What a token is to the statement; names are kept as they are, keywords in capitals, literals
     * not at all.
     */
    enum Role {
        SYMBOL,
        KEYWORD,
        NAME,
        ALIAS,
        LITERAL,
        DROPPED
    }

    final int type;
    final String text;
    final int from;
    final int to;
    private final String upper;
    Role role = Role.SYMBOL;

    Token(int type, String text, int from, int to, boolean word) {
        this.type = type;
        this.text = text;
        this.from = from;
        this.to = to;
        this.upper = word ? text.toUpperCase(Locale.ROOT) : "";
    }

    /** The word in capitals; empty for all that is no word. */
    String upper() {
        return upper;
    }

    boolean is(String keyword) {
        return upper.equals(keyword);
    }
}
