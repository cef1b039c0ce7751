package ashlink.sql;

import ashlink.sql.grammar.SqlLexer;
import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.Token;

/**
 * The tokens of a text without comments, scanned lazily so that data after an INSERT is never
 * scanned.
 */
final class Tokens {

    private final String text;
    private final TextChars chars;
    private final SqlLexer lexer;
    private final int maxTokens;
    private final List<ashlink.sql.Token> scanned = new ArrayList<>();
    private int next;
    private boolean exhausted;

    Tokens(String text, int maxTokens) {
        this.text = text;
        this.maxTokens = maxTokens;
        chars = new TextChars(text);
        if (!text.isEmpty() && text.charAt(0) == '\ufeff') {
            chars.seek(1); // skips the byte order mark
        }
        lexer = new SqlLexer(chars);
        lexer.removeErrorListeners();
    }

    /** Returns the token at the given distance ahead, 0 for the next token; null past the end. */
    ashlink.sql.Token peek(int ahead) {
        while (!exhausted && scanned.size() <= next + ahead) {
            scanNext();
        }
        return next + ahead < scanned.size() ? scanned.get(next + ahead) : null;
    }

    ashlink.sql.Token peek() {
        return peek(0);
    }

    /** Consumes the next token. */
    ashlink.sql.Token consume() {
        ashlink.sql.Token token = peek(0);
        if (token == null) {
            throw new UnsupportedSyntaxException("unexpected end of statement", text.length());
        }
        next++;
        return token;
    }

    /** Returns the token consumed last, or null. */
    ashlink.sql.Token last() {
        return next == 0 ? null : scanned.get(next - 1);
    }

    /** Returns all tokens consumed so far. */
    List<ashlink.sql.Token> consumed() {
        return scanned.subList(0, next);
    }

    /** Returns the number of tokens consumed so far. */
    int position() {
        return next;
    }

    /** Returns the index of the character at which the next token starts. */
    int offset() {
        ashlink.sql.Token token = peek(0);
        return token == null ? text.length() : token.start;
    }

    private void scanNext() {
        Token token = lexer.nextToken();
        if (token.getType() == Token.EOF) {
            exhausted = true;
            return;
        }
        if (scanned.size() >= maxTokens) {
            throw new UnsupportedSyntaxException(
                    "too many tokens: at most " + maxTokens, token.getStartIndex());
        }
        int from = token.getStartIndex();
        int to = token.getStopIndex() + 1;
        int type = token.getType();
        if (type == SqlLexer.BLOCK_COMMENT) {
            checkNoInnerComment(from, to);
            return;
        }
        if (type == SqlLexer.UNCLOSED_COMMENT) {
            throw new UnsupportedSyntaxException("unclosed comment", from);
        }
        if (type == SqlLexer.UNEXPECTED) {
            throw new UnsupportedSyntaxException(
                    "unexpected character U+" + String.format("%04X", (int) text.charAt(from)),
                    from);
        }
        if (type == SqlLexer.HEREDOC) {
            to = heredocEnd(from, to);
            chars.seek(to);
            type = SqlLexer.STRING;
        }
        scanned.add(
                new ashlink.sql.Token(
                        type, text.substring(from, to), from, to, type == SqlLexer.WORD));
    }

    /**
     * Rejects nested comments: versions of the engine differ on whether a comment ends at the first
     * or at the matching end.
     */
    private void checkNoInnerComment(int from, int to) {
        int inner = text.indexOf("/*", from + 2);
        if (inner >= 0 && inner + 1 < to) {
            throw new UnsupportedSyntaxException("unsupported nested comment", inner);
        }
    }

    /**
     * Returns the index after the closing tag of the heredoc whose opening tag is at the given
     * place.
     */
    private int heredocEnd(int from, int tagEnd) {
        String tag = text.substring(from, tagEnd);
        int close = text.indexOf(tag, tagEnd);
        if (close < 0) {
            throw new UnsupportedSyntaxException("unclosed heredoc", from);
        }
        return close + tag.length();
    }
}
