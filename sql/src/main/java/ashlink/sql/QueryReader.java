package ashlink.sql;

import ashlink.sql.grammar.SqlLexer;

/** Parses queries: WITH, SELECT, and queries combined by UNION, EXCEPT or INTERSECT. */
final class QueryReader {

    private final Readers readers;
    private final TokenCursor cursor;
    private final Tokens tokens;

    QueryReader(Readers readers) {
        this.readers = readers;
        this.cursor = readers.cursor;
        this.tokens = readers.tokens;
    }

    /** Returns true if a query starts here, after any number of opening parentheses. */
    boolean startsQuery() {
        int ahead = 0;
        while (tokens.peek(ahead) != null && tokens.peek(ahead).type == SqlLexer.OPEN_PAREN) {
            ahead++;
        }
        Token token = tokens.peek(ahead);
        Token next = tokens.peek(ahead + 1);
        boolean isColumnName =
                next != null
                        && (next.type == SqlLexer.DOT
                                || next.type == SqlLexer.COMMA
                                || next.type == SqlLexer.CLOSE_PAREN
                                || next.type == SqlLexer.OPERATOR);
        return token != null
                && (token.is("SELECT") || token.is("WITH") && !isColumnName)
                && !(token.is("SELECT") && next != null && next.type == SqlLexer.DOT);
    }

    /**
     * Parses queries combined by UNION, EXCEPT or INTERSECT, and the clauses after the last query.
     */
    void query(Scope outer) {
        Scope scope = new Scope(outer);
        singleQuery(scope);
        queryTail(scope);
    }

    /**
     * Parses what may follow the first query: further queries of a set operation, and the clauses
     * after a query in parentheses.
     */
    void queryTail(Scope scope) {
        while (cursor.atKeyword("UNION")
                || cursor.atKeyword("EXCEPT")
                || cursor.atKeyword("INTERSECT")) {
            cursor.consumeKeyword();
            if (!cursor.tryKeyword("ALL")) {
                cursor.tryKeyword("DISTINCT");
            }
            singleQuery(scope);
        }
        while (readers.clauses.tryClause(scope)) {
            // clauses after a query in parentheses
        }
        readers.clauses.outputOptions();
    }

    private void singleQuery(Scope scope) {
        if (cursor.at(SqlLexer.OPEN_PAREN)) {
            tokens.consume();
            cursor.enter();
            query(scope);
            cursor.expect(SqlLexer.CLOSE_PAREN, "a closing parenthesis after a query");
            cursor.exit();
            return;
        }
        if (cursor.atKeyword("WITH")) {
            with(scope);
        }
        cursor.expectKeyword("SELECT");
        select(scope);
    }

    /**
     * Parses a WITH clause. The names of the queries hide tables of the same names from here on.
     */
    void with(Scope scope) {
        cursor.expectKeyword("WITH");
        Token next = tokens.peek(1);
        boolean recursive = cursor.atKeyword("RECURSIVE") && Token.isName(next);
        if (recursive) {
            cursor.consumeKeyword();
        }
        do {
            if (cursor.at(SqlLexer.COMMA)) {
                tokens.consume();
            }
            Token second = tokens.peek(1);
            Token third = tokens.peek(2);
            boolean isQuery =
                    Token.isName(tokens.peek())
                            && second != null
                            && (second.is("AS")
                                            && third != null
                                            && third.type == SqlLexer.OPEN_PAREN
                                    || second.type == SqlLexer.OPEN_PAREN
                                            && startsNamedQueryWithColumns());
            if (isQuery) {
                namedQuery(scope, recursive);
            } else {
                readers.expressions.expression(scope); // the expression includes the alias
            }
        } while (cursor.at(SqlLexer.COMMA));
    }

    /**
     * Returns true at {@code name (a, b) AS (}: the parentheses hold column names of a named query
     * and no arguments of a call.
     */
    private boolean startsNamedQueryWithColumns() {
        int ahead = 2;
        while (tokens.peek(ahead) != null
                && (Token.isName(tokens.peek(ahead))
                        || tokens.peek(ahead).type == SqlLexer.COMMA)) {
            ahead++;
        }
        Token close = tokens.peek(ahead);
        Token as = tokens.peek(ahead + 1);
        Token open = tokens.peek(ahead + 2);
        return close != null
                && close.type == SqlLexer.CLOSE_PAREN
                && as != null
                && as.is("AS")
                && open != null
                && open.type == SqlLexer.OPEN_PAREN;
    }

    private void namedQuery(Scope scope, boolean recursive) {
        String name = cursor.expectName("a name");
        if (cursor.at(SqlLexer.OPEN_PAREN)) {
            tokens.consume();
            columnNames();
        }
        cursor.expectKeyword("AS");
        tokens.consume();
        if (!startsQuery()) {
            // An expression in parentheses, as in name AS (1 + 2), is not a named query.
            throw cursor.unexpected("a query");
        }
        Scope inner = new Scope(scope);
        if (recursive) {
            inner.add(name);
        }
        cursor.enter();
        query(inner);
        cursor.expect(SqlLexer.CLOSE_PAREN, "the closing parenthesis of a named query");
        cursor.exit();
        scope.add(name);
    }

    /** Parses column names after an opening parenthesis, and the closing parenthesis. */
    void columnNames() {
        while (!cursor.at(SqlLexer.CLOSE_PAREN)) {
            cursor.expectName("a column name");
            if (cursor.at(SqlLexer.COMMA)) {
                tokens.consume();
            }
        }
        tokens.consume();
    }

    private void select(Scope scope) {
        if (cursor.atKeyword("DISTINCT")) {
            cursor.consumeKeyword();
            if (cursor.tryKeyword("ON")) {
                cursor.expect(SqlLexer.OPEN_PAREN, "an opening parenthesis before columns");
                readers.expressions.parenthesized(scope);
            }
        }
        if (cursor.atKeyword("TOP")
                && tokens.peek(1) != null
                && (tokens.peek(1).type == SqlLexer.NUMBER
                        || tokens.peek(1).type == SqlLexer.QUESTION)) {
            cursor.consumeKeyword();
            cursor.expectNumber("a number of rows");
            if (cursor.tryKeyword("WITH")) {
                cursor.expectKeyword("TIES");
            }
        }
        readers.expressions.list(scope);
        if (cursor.tryKeyword("FROM")) {
            readers.tables.from(scope);
        }
        while (readers.clauses.tryClause(scope)) {
            // clauses are accepted in any order
        }
    }
}
