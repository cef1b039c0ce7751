package ashlink.sql;

import ashlink.sql.Token.Role;
import ashlink.sql.grammar.SqlLexer;

/** Parses windows after OVER and in the WINDOW clause. */
final class WindowReader {

    private final Readers readers;
    private final TokenCursor cursor;
    private final Tokens tokens;

    WindowReader(Readers readers) {
        this.readers = readers;
        this.cursor = readers.cursor;
        this.tokens = readers.tokens;
    }

    /** Parses OVER with a window definition or a window name. */
    void over(Scope scope) {
        cursor.consumeKeyword();
        if (cursor.at(SqlLexer.OPEN_PAREN)) {
            tokens.consume();
            definition(scope);
        } else {
            cursor.expectName("a window name");
        }
    }

    /** Parses the WINDOW clause: named window definitions. */
    void clause(Scope scope) {
        do {
            // The condition is evaluated after the token is consumed, so a comma between windows
            // gets the role of a keyword and is normalized to an empty text. Fingerprints depend on
            // this.
            tokens.consume().role = cursor.at(SqlLexer.COMMA) ? Role.SYMBOL : Role.KEYWORD;
            cursor.expectName("a window name");
            cursor.expectKeyword("AS");
            cursor.expect(SqlLexer.OPEN_PAREN, "an opening parenthesis before a window");
            definition(scope);
        } while (cursor.at(SqlLexer.COMMA));
    }

    /** Parses a window definition after the opening parenthesis. */
    void definition(Scope scope) {
        cursor.enter();
        if (Token.isName(tokens.peek())
                && !cursor.atKeyword("PARTITION")
                && !cursor.atKeyword("ORDER")
                && !cursor.atKeyword("ROWS")
                && !cursor.atKeyword("RANGE")) {
            cursor.expectName("a window name");
        }
        if (cursor.tryKeyword("PARTITION")) {
            cursor.expectKeyword("BY");
            readers.expressions.list(scope);
        }
        if (cursor.tryKeyword("ORDER")) {
            cursor.expectKeyword("BY");
            readers.clauses.orderList(scope);
        }
        if (cursor.tryKeyword("ROWS") || cursor.tryKeyword("RANGE")) {
            while (!cursor.at(SqlLexer.CLOSE_PAREN)) {
                if (Token.isName(tokens.peek())) {
                    cursor.consumeKeyword();
                } else {
                    readers.operands.operand(scope);
                }
            }
        }
        cursor.expect(SqlLexer.CLOSE_PAREN, "the closing parenthesis of a window");
        cursor.exit();
    }
}
