package ashlink.sql;

import ashlink.sql.grammar.SqlLexer;

/** Parses INSERT statements up to the inserted data. */
final class InsertReader {

    private final Readers readers;
    private final TokenCursor cursor;
    private final Tokens tokens;
    private final AnalysisBuilder analysis;

    InsertReader(Readers readers) {
        this.readers = readers;
        this.cursor = readers.cursor;
        this.tokens = readers.tokens;
        this.analysis = readers.analysis;
    }

    /** Parses an INSERT; the scope holds the query names that a preceding WITH defined. */
    StatementKind insert(Scope scope) {
        cursor.consumeKeyword();
        cursor.expectKeyword("INTO");
        cursor.tryKeyword("TABLE");
        target(scope);
        if (cursor.at(SqlLexer.OPEN_PAREN) && !readers.queries.startsQuery()) {
            tokens.consume();
            readers.expressions.parenthesized(scope); // columns
        }
        if (cursor.tryKeyword("PARTITION")) {
            cursor.expectKeyword("BY");
            readers.expressions.expression(scope);
        }
        boolean fromFile = tryFile();
        if (cursor.tryKeyword("SETTINGS")) {
            readers.clauses.settings();
        }
        return source(scope, fromFile);
    }

    private void target(Scope scope) {
        boolean function = cursor.atKeyword("FUNCTION") && Token.isName(tokens.peek(1));
        if (function) {
            cursor.consumeKeyword();
            cursor.expectName("a table function name");
            cursor.expect(SqlLexer.OPEN_PAREN, "an opening parenthesis before arguments");
            readers.expressions.parenthesized(scope);
            analysis.tablesComplete = false;
        } else {
            analysis.writes.add(readers.tables.tableName());
        }
    }

    private boolean tryFile() {
        if (!cursor.atKeywords("FROM", "INFILE")) {
            return false;
        }
        cursor.consumeKeyword();
        cursor.consumeKeyword();
        cursor.expectLiteral("a file name");
        if (cursor.tryKeyword("COMPRESSION")) {
            cursor.expectLiteral("a compression method");
        }
        return true;
    }

    /** Parses the source of the rows: a format, values, a file or a query. */
    private StatementKind source(Scope scope, boolean fromFile) {
        if (cursor.tryKeyword("FORMAT")) {
            cursor.expectName("a format name");
            if (cursor.tryKeyword("SETTINGS")) {
                readers.clauses.settings();
            }
            analysis.expectsData = !fromFile;
            return StatementKind.LOAD;
        }
        if (cursor.tryKeyword("VALUES")) {
            analysis.expectsData = true;
            return StatementKind.LOAD;
        }
        if (fromFile) {
            return StatementKind.LOAD;
        }
        if (tokens.peek() == null) {
            // In the native protocol the rows follow without a VALUES or FORMAT keyword.
            analysis.expectsData = true;
            return StatementKind.LOAD;
        }
        if (!readers.queries.startsQuery()) {
            throw cursor.unexpected("VALUES, FORMAT or a query");
        }
        readers.queries.query(scope);
        return StatementKind.WRITE;
    }
}
