package ashlink.sql;

import ashlink.sql.grammar.SqlLexer;
import java.util.Locale;

/** A token of a statement and the role that the readers assign to the token. */
final class Token {

    /**
     * Role of a token in the statement. The normalized text has names unchanged, keywords in upper
     * case, and a placeholder in place of each literal.
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
    final int start;
    final int end;
    private final String upper;
    Role role = Role.SYMBOL;

    Token(int type, String text, int start, int end, boolean word) {
        this.type = type;
        this.text = text;
        this.start = start;
        this.end = end;
        this.upper = word ? text.toUpperCase(Locale.ROOT) : "";
    }

    /** Returns the word in upper case; empty for a token that is not a word. */
    String upper() {
        return upper;
    }

    boolean is(String keyword) {
        return upper.equals(keyword);
    }

    /** Returns true for a word and for a quoted name; false for null. */
    static boolean isName(Token token) {
        return token != null
                && (token.type == SqlLexer.WORD
                        || token.type == SqlLexer.BACKTICK_NAME
                        || token.type == SqlLexer.QUOTED_NAME);
    }

    /** Returns a name without quotes and escapes. */
    static String unquoted(Token token) {
        if (token.type == SqlLexer.WORD) {
            return token.text;
        }
        char quote = token.text.charAt(0);
        StringBuilder unquoted = new StringBuilder();
        for (int i = 1; i < token.text.length() - 1; i++) {
            char next = token.text.charAt(i);
            if (next == '\\' || next == quote) {
                next = token.text.charAt(++i);
            }
            unquoted.append(next);
        }
        return unquoted.toString();
    }
}
