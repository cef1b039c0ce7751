package ashlink.sql;

import ashlink.sql.grammar.SqlLexer;

/** Parses the clauses of a query after FROM, and the output options. */
final class ClauseReader {

    private final Readers readers;
    private final TokenCursor cursor;
    private final Tokens tokens;
    private final AnalysisBuilder analysis;

    ClauseReader(Readers readers) {
        this.readers = readers;
        this.cursor = readers.cursor;
        this.tokens = readers.tokens;
        this.analysis = readers.analysis;
    }

    /** Parses the next clause; returns false and consumes no token if no clause follows. */
    boolean tryClause(Scope scope) {
        Token token = tokens.peek();
        if (token == null) {
            return false;
        }
        switch (token.upper()) {
            case "PREWHERE", "WHERE", "HAVING", "QUALIFY" -> {
                cursor.consumeKeyword();
                readers.expressions.expression(scope);
            }
            case "GROUP" -> group(scope);
            case "WINDOW" -> readers.windows.clause(scope);
            case "ORDER" -> {
                cursor.consumeKeyword();
                cursor.expectKeyword("BY");
                orderList(scope);
            }
            case "LIMIT" -> limit(scope);
            case "OFFSET" -> {
                cursor.consumeKeyword();
                readers.expressions.expression(scope);
                if (!cursor.tryKeyword("ROW")) {
                    cursor.tryKeyword("ROWS");
                }
            }
            case "FETCH" -> fetch(scope);
            case "WITH" -> {
                cursor.consumeKeyword();
                if (!cursor.tryKeyword("TOTALS") && !cursor.tryKeyword("CUBE")) {
                    cursor.expectKeyword("ROLLUP");
                }
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private void group(Scope scope) {
        cursor.consumeKeyword();
        cursor.expectKeyword("BY");
        if (cursor.tryKeyword("ALL")) {
            return;
        }
        if (cursor.atKeywords("GROUPING", "SETS")) {
            cursor.consumeKeyword();
            cursor.consumeKeyword();
        }
        readers.expressions.list(scope);
    }

    /** Parses the expressions of ORDER BY with their sort directions and WITH FILL options. */
    void orderList(Scope scope) {
        if (cursor.atKeyword("ALL")
                && (tokens.peek(1) == null
                        || tokens.peek(1).type == SqlLexer.CLOSE_PAREN
                        || Vocabulary.EXPRESSION_TERMINATORS.contains(tokens.peek(1).upper()))) {
            cursor.consumeKeyword();
            orderOptions(scope);
            return;
        }
        do {
            if (cursor.at(SqlLexer.COMMA)) {
                tokens.consume();
            }
            readers.expressions.expression(scope);
            orderOptions(scope);
        } while (cursor.at(SqlLexer.COMMA));
        if (cursor.tryKeyword("INTERPOLATE") && cursor.at(SqlLexer.OPEN_PAREN)) {
            tokens.consume();
            readers.expressions.parenthesized(scope);
        }
    }

    private void orderOptions(Scope scope) {
        while (true) {
            if (cursor.tryKeyword("ASC")
                    || cursor.tryKeyword("DESC")
                    || cursor.tryKeyword("ASCENDING")
                    || cursor.tryKeyword("DESCENDING")) {
                continue;
            }
            if (cursor.tryKeyword("NULLS")) {
                if (!cursor.tryKeyword("FIRST")) {
                    cursor.expectKeyword("LAST");
                }
            } else if (cursor.tryKeyword("COLLATE")
                    || cursor.tryKeyword("FROM")
                    || cursor.tryKeyword("TO")
                    || cursor.tryKeyword("STEP")
                    || cursor.tryKeyword("STALENESS")) {
                readers.expressions.expression(scope);
            } else if (cursor.atKeywords("WITH", "FILL")) {
                cursor.consumeKeyword();
                cursor.consumeKeyword();
            } else {
                return;
            }
        }
    }

    private void limit(Scope scope) {
        cursor.consumeKeyword();
        readers.expressions.expression(scope);
        if (cursor.at(SqlLexer.COMMA)) {
            tokens.consume();
            readers.expressions.expression(scope);
        }
        if (cursor.tryKeyword("OFFSET")) {
            readers.expressions.expression(scope);
        }
        if (cursor.tryKeyword("BY")) {
            readers.expressions.list(scope);
        } else if (cursor.atKeywords("WITH", "TIES")) {
            cursor.consumeKeyword();
            cursor.consumeKeyword();
        }
    }

    private void fetch(Scope scope) {
        cursor.consumeKeyword();
        if (!cursor.tryKeyword("FIRST")) {
            cursor.expectKeyword("NEXT");
        }
        if (!cursor.atKeyword("ROW") && !cursor.atKeyword("ROWS")) {
            readers.expressions.expression(scope);
        }
        if (!cursor.tryKeyword("ROWS")) {
            cursor.expectKeyword("ROW");
        }
        if (!cursor.tryKeyword("ONLY")) {
            cursor.expectKeyword("WITH");
            cursor.expectKeyword("TIES");
        }
    }

    /** Parses the options at the end of a statement: output file, format and settings. */
    void outputOptions() {
        while (true) {
            if (cursor.atKeywords("INTO", "OUTFILE")) {
                cursor.consumeKeyword();
                cursor.consumeKeyword();
                cursor.expectLiteral("a file name");
                analysis.markUnsafe("INTO OUTFILE writes a file on the client");
                while (cursor.tryKeyword("AND")
                        || cursor.tryKeyword("STDOUT")
                        || cursor.tryKeyword("APPEND")
                        || cursor.tryKeyword("TRUNCATE")) {
                    // these keywords change only how the file is written
                }
                if (cursor.tryKeyword("COMPRESSION")) {
                    cursor.expectLiteral("a compression method");
                }
            } else if (cursor.tryKeyword("FORMAT")) {
                cursor.expectName("a format name");
            } else if (cursor.tryKeyword("SETTINGS")) {
                settings();
            } else {
                return;
            }
        }
    }

    /** Parses a comma-separated list of {@code name = value}. */
    void settings() {
        do {
            if (cursor.at(SqlLexer.COMMA)) {
                tokens.consume();
            }
            String name = cursor.expectName("a setting name");
            cursor.expect(SqlLexer.OPERATOR, "'='");
            int from = tokens.offset();
            readers.expressions.expression(new Scope(null));
            Token last = tokens.last();
            analysis.settings.put(name, last.start >= from ? last.text : "");
        } while (cursor.at(SqlLexer.COMMA));
    }
}
