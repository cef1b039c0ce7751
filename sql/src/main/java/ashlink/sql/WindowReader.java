package ashlink.sql;

import ashlink.sql.Token.Role;
import ashlink.sql.grammar.SqlLexer;

/** Reads windows, after OVER and in the WINDOW clause. */
final class WindowReader {

    private final Readers readers;
    private final TokenCursor cursor;
    private final Tokens tokens;

    WindowReader(Readers readers) {
        this.readers = readers;
        this.cursor = readers.cursor;
        this.tokens = readers.tokens;
    }

    /** OVER with a window, or with the name of one. */
    void over(Scope scope) {
        cursor.takeKeyword();
        if (cursor.at(SqlLexer.OPEN)) {
            tokens.take();
            definition(scope);
        } else {
            cursor.expectName("a window");
        }
    }

    /** The WINDOW clause: definitions by name. */
    void clause(Scope scope) {
        do {
            // The condition is evaluated after the token is taken, so a comma between windows gets
            // the role of a keyword and is normalized to nothing: fingerprints depend on it.
            tokens.take().role = cursor.at(SqlLexer.COMMA) ? Role.SYMBOL : Role.KEYWORD;
            cursor.expectName("a window");
            cursor.expectKeyword("AS");
            cursor.expect(SqlLexer.OPEN, "a window in brackets");
            definition(scope);
        } while (cursor.at(SqlLexer.COMMA));
    }

    /** A window's definition after its opening bracket. */
    void definition(Scope scope) {
        cursor.enter();
        if (Token.isName(tokens.peek())
                && !cursor.atKeyword("PARTITION")
                && !cursor.atKeyword("ORDER")
                && !cursor.atKeyword("ROWS")
                && !cursor.atKeyword("RANGE")) {
            cursor.expectName("a window");
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
            while (!cursor.at(SqlLexer.CLOSE)) {
                if (Token.isName(tokens.peek())) {
                    cursor.takeKeyword();
                } else {
                    readers.operands.operand(scope);
                }
            }
        }
        cursor.expect(SqlLexer.CLOSE, "the end of a window");
        cursor.exit();
    }
}
