package ashlink.sql;

import ashlink.sql.Token.Role;
import ashlink.sql.grammar.SqlLexer;

/** Matches and consumes tokens of one text for all readers, and limits the nesting depth. */
final class TokenCursor {

    /**
     * Limit on nested parsing steps, about three for each pair of brackets. Half the stack of a
     * client thread is enough for more steps than this.
     */
    private static final int MAX_DEPTH = 240;

    private final Tokens tokens;
    private int depth;

    TokenCursor(Tokens tokens) {
        this.tokens = tokens;
    }

    /** Returns true if the next token has the given type of {@link SqlLexer}. */
    boolean at(int type) {
        Token token = tokens.peek();
        return token != null && token.type == type;
    }

    /** Returns true if the next token is the given word, ignoring case. */
    boolean atKeyword(String word) {
        Token token = tokens.peek();
        return token != null && token.is(word);
    }

    /** Returns true if the next two tokens are the given words. */
    boolean atKeywords(String first, String second) {
        Token token = tokens.peek(1);
        return atKeyword(first) && token != null && token.is(second);
    }

    /** Consumes the next token as a keyword. */
    Token consumeKeyword() {
        Token token = tokens.consume();
        token.role = Role.KEYWORD;
        return token;
    }

    /** Consumes the next token if it is the given keyword. */
    boolean tryKeyword(String word) {
        if (atKeyword(word)) {
            consumeKeyword();
            return true;
        }
        return false;
    }

    /** Consumes the given keyword. */
    void expectKeyword(String word) {
        if (!tryKeyword(word)) {
            throw unexpected(word);
        }
    }

    /** Consumes a token of the given type. */
    void expect(int type, String what) {
        if (!at(type)) {
            throw unexpected(what);
        }
        tokens.consume();
    }

    /** Returns the exception for a next token that is not the expected token. */
    UnsupportedSyntaxException unexpected(String expected) {
        Token token = tokens.peek();
        return new UnsupportedSyntaxException(
                "unexpected " + describe(token) + ": expected " + expected, tokens.offset());
    }

    /**
     * Describes a token in a reason. Reasons are logged and must not contain names or values of a
     * statement, so literals and words are described without their text.
     */
    private static String describe(Token token) {
        if (token == null) {
            return "end of statement";
        }
        if (token.type == SqlLexer.STRING || token.type == SqlLexer.NUMBER) {
            return "literal";
        }
        return token.type == SqlLexer.WORD ? "word" : "'" + token.text + "'";
    }

    /**
     * Begins a nested step. {@link #exit} is not called after an exception, because an exception
     * ends the parsing of the whole text.
     */
    void enter() {
        if (++depth > MAX_DEPTH) {
            throw new UnsupportedSyntaxException(
                    "brackets or operators nested too deep: at most "
                            + MAX_DEPTH
                            + " parsing steps",
                    tokens.offset());
        }
    }

    /** Ends a nested step. */
    void exit() {
        depth--;
    }

    /** Consumes a number, or the placeholder of a number. */
    void expectNumber(String what) {
        if (!at(SqlLexer.NUMBER) && !at(SqlLexer.QUESTION)) {
            throw unexpected(what);
        }
        tokens.consume().role = Role.LITERAL;
    }

    /** Consumes a string literal, or the placeholder of a string literal. */
    void expectLiteral(String what) {
        if (!at(SqlLexer.STRING) && !at(SqlLexer.QUESTION)) {
            throw unexpected(what);
        }
        tokens.consume().role = Role.LITERAL;
    }

    /** Consumes a name, quoted or not, and returns the name without quotes. */
    String expectName(String what) {
        Token token = tokens.peek();
        if (!Token.isName(token)) {
            throw unexpected(what);
        }
        tokens.consume();
        token.role = Role.NAME;
        return Token.unquoted(token);
    }

    /** Returns true within at least one pair of brackets or one operand. */
    boolean isNested() {
        return depth > 1;
    }
}
