package ashlink.sql;

import ashlink.sql.grammar.SqlLexer;

/**
 * Parses expressions, expression lists and parentheses, only in the detail that is needed to tell
 * operands from operators and to find every subquery. After a complete operand, an expression ends
 * at a keyword that starts another clause, or at a closing parenthesis or comma that belongs to an
 * enclosing expression.
 */
final class ExpressionReader {

    private final Readers readers;
    private final TokenCursor cursor;
    private final Tokens tokens;

    ExpressionReader(Readers readers) {
        this.readers = readers;
        this.cursor = readers.cursor;
        this.tokens = readers.tokens;
    }

    /** Parses a comma-separated list of expressions; a trailing comma before FROM is allowed. */
    void list(Scope scope) {
        expression(scope);
        while (cursor.at(SqlLexer.COMMA)) {
            tokens.consume();
            if (cursor.atKeyword("FROM")) {
                return;
            }
            expression(scope);
        }
    }

    /**
     * Parses the list after an opening bracket, which may be empty, and the closing bracket of the
     * given token type.
     */
    void bracketedList(int close, Scope scope) {
        cursor.enter();
        if (!cursor.at(close)) {
            list(scope);
        }
        cursor.expect(close, "a closing bracket");
        cursor.exit();
    }

    /**
     * Parses the content after an opening parenthesis, a query or a list, and the closing
     * parenthesis. If another parenthesis opens first, the content may be either a query or a list.
     */
    void parenthesized(Scope scope) {
        if (readers.queries.startsQuery()) {
            cursor.enter();
            if (cursor.at(SqlLexer.OPEN_PAREN)) {
                list(scope);
                readers.queries.queryTail(scope);
            } else {
                readers.queries.query(scope);
            }
            cursor.expect(SqlLexer.CLOSE_PAREN, "a closing parenthesis after a query");
            cursor.exit();
        } else {
            bracketedList(SqlLexer.CLOSE_PAREN, scope);
        }
    }

    /** Parses one expression. */
    void expression(Scope scope) {
        cursor.enter();
        readers.operands.operand(scope);
        while (readers.operators.tryOperator(scope)) {
            // consumes operators while there are any
        }
        cursor.exit();
    }
}
