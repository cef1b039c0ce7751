package ashlink.sql;

import ashlink.sql.grammar.SqlLexer;

/**
 * Reads expressions, lists of them and brackets, just so far that every token is known for an
 * operand or an operator, and every subquery is found. An expression ends, where an operand is
 * complete, at a word that starts another clause, or at a bracket or comma that is not its own.
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

    /** Expressions with commas between them; a trailing comma before FROM is allowed. */
    void list(Scope scope) {
        expression(scope);
        while (cursor.at(SqlLexer.COMMA)) {
            tokens.take();
            if (cursor.atKeyword("FROM")) {
                return;
            }
            expression(scope);
        }
    }

    /** A list after an opening bracket, which may be empty, and the closing bracket. */
    void bracketed(int close, Scope scope) {
        cursor.enter();
        if (!cursor.at(close)) {
            list(scope);
        }
        cursor.expect(close, "the end of a bracket");
        cursor.exit();
    }

    /**
     * A bracket that was opened: a query, or a list; where another bracket follows it may yet be
     * either.
     */
    void parenthesis(Scope scope) {
        if (readers.queries.startsQuery()) {
            cursor.enter();
            if (cursor.at(SqlLexer.OPEN)) {
                list(scope);
                readers.queries.afterFirstQuery(scope);
            } else {
                readers.queries.query(scope);
            }
            cursor.expect(SqlLexer.CLOSE, "the end of a query in brackets");
            cursor.exit();
        } else {
            bracketed(SqlLexer.CLOSE, scope);
        }
    }

    /** One expression. */
    void expression(Scope scope) {
        cursor.enter();
        readers.operands.operand(scope);
        while (readers.operators.tryOperator(scope)) {
            // as far as operators lead
        }
        cursor.exit();
    }
}
