package ashlink.sql;

import ashlink.sql.Token.Role;
import ashlink.sql.grammar.SqlLexer;

/** Steps over the tokens of one text that all readers share, and their limit on nesting. */
final class TokenCursor {

    /** Nested steps, some three a bracket; half the stack of a client's thread takes more. */
    private static final int MAX_DEPTH = 240;

    private final Tokens tokens;
    private int depth;

    TokenCursor(Tokens tokens) {
        this.tokens = tokens;
    }

    /** True if the next token has that type of {@link SqlLexer}. */
    boolean at(int type) {
        Token token = tokens.peek();
        return token != null && token.type == type;
    }

    /** True if the next token is that word, in any case. */
    boolean atKeyword(String word) {
        Token token = tokens.peek();
        return token != null && token.is(word);
    }

    /** True if the next two tokens are those words. */
    boolean atKeywords(String first, String second) {
        Token token = tokens.peek(1);
        return atKeyword(first) && token != null && token.is(second);
    }

    /** Takes the next token as a keyword. */
    Token takeKeyword() {
        Token token = tokens.take();
        token.role = Role.KEYWORD;
        return token;
    }

    /** Takes the next token if it is that keyword. */
    boolean tryKeyword(String word) {
        if (atKeyword(word)) {
            takeKeyword();
            return true;
        }
        return false;
    }

    /** Takes that keyword. */
    void expectKeyword(String word) {
        if (!tryKeyword(word)) {
            throw unexpected(word);
        }
    }

    /** Takes a token of that type. */
    void expect(int type, String what) {
        if (!at(type)) {
            throw unexpected(what);
        }
        tokens.take();
    }

    /** The exception for a next token that is not the expected one. */
    UnsupportedSyntaxException unexpected(String expected) {
        Token token = tokens.peek();
        return new UnsupportedSyntaxException(
                describe(token) + " where " + expected + " was expected", tokens.offset());
    }

    /** Reasons are logged, so no name or value of a statement may be in one. */
    private static String describe(Token token) {
        if (token == null) {
            return "the end";
        }
        if (token.type == SqlLexer.STRING || token.type == SqlLexer.NUMBER) {
            return "a literal";
        }
        return token.type == SqlLexer.WORD ? "a word" : "'" + token.text + "'";
    }

    /** Begins a nested step; an exception ends all, so only completed steps are exited. */
    void enter() {
        if (++depth > MAX_DEPTH) {
            throw new UnsupportedSyntaxException(
                    "brackets or operators too deep within each other", tokens.offset());
        }
    }

    /** Ends a nested step. */
    void exit() {
        depth--;
    }

    /** Takes a number, or the mark that stands for one. */
    void expectNumber(String what) {
        if (!at(SqlLexer.NUMBER) && !at(SqlLexer.QUESTION)) {
            throw unexpected(what);
        }
        tokens.take().role = Role.LITERAL;
    }

    /** Takes a quoted text, or the mark that stands for one. */
    void expectLiteral(String what) {
        if (!at(SqlLexer.STRING) && !at(SqlLexer.QUESTION)) {
            throw unexpected(what);
        }
        tokens.take().role = Role.LITERAL;
    }

    /** Takes a name, quoted or not, and returns it without quotes. */
    String expectName(String what) {
        Token token = tokens.peek();
        if (!Token.isName(token)) {
            throw unexpected(what);
        }
        tokens.take();
        token.role = Role.NAME;
        return Token.unquoted(token);
    }

    /** True within at least one bracket or operand. */
    boolean isNested() {
        return depth > 1;
    }
}
