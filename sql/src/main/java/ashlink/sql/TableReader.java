package ashlink.sql;

import ashlink.sql.grammar.SqlLexer;
import java.util.Locale;

/** Parses the tables, queries and table functions after FROM and JOIN. */
final class TableReader {

    private final Readers readers;
    private final TokenCursor cursor;
    private final Tokens tokens;
    private final AnalysisBuilder analysis;

    TableReader(Readers readers) {
        this.readers = readers;
        this.cursor = readers.cursor;
        this.tokens = readers.tokens;
        this.analysis = readers.analysis;
    }

    /** Parses the sources after FROM: tables, queries and table functions, and joins of these. */
    void from(Scope scope) {
        source(scope);
        while (true) {
            if (cursor.at(SqlLexer.COMMA)) {
                tokens.consume();
                source(scope);
            } else if (atArrayJoin()) {
                while (!cursor.tryKeyword("JOIN")) {
                    cursor.consumeKeyword();
                }
                readers.expressions.list(scope);
            } else if (atJoin()) {
                while (!cursor.tryKeyword("JOIN")) {
                    cursor.consumeKeyword();
                }
                source(scope);
                if (cursor.tryKeyword("ON")) {
                    readers.expressions.expression(scope);
                } else if (cursor.tryKeyword("USING")) {
                    readers.expressions.list(scope);
                }
            } else {
                return;
            }
        }
    }

    private boolean atArrayJoin() {
        return cursor.atKeywords("ARRAY", "JOIN")
                || (cursor.atKeyword("LEFT") || cursor.atKeyword("INNER"))
                        && tokens.peek(1) != null
                        && tokens.peek(1).is("ARRAY");
    }

    private boolean atJoin() {
        int ahead = 0;
        while (tokens.peek(ahead) != null
                && Vocabulary.JOIN_MODIFIERS.contains(tokens.peek(ahead).upper())) {
            ahead++;
        }
        return tokens.peek(ahead) != null && tokens.peek(ahead).is("JOIN");
    }

    private void source(Scope scope) {
        if (cursor.at(SqlLexer.OPEN_PAREN)) {
            boolean query = readers.queries.startsQuery();
            tokens.consume();
            cursor.enter();
            if (query) {
                readers.queries.query(scope);
            } else {
                from(scope);
            }
            cursor.expect(SqlLexer.CLOSE_PAREN, "a closing parenthesis");
            cursor.exit();
        } else if (Token.isName(tokens.peek())
                && tokens.peek(1) != null
                && tokens.peek(1).type == SqlLexer.OPEN_PAREN) {
            function(scope);
        } else {
            table(scope);
        }
        sourceOptions(scope);
    }

    private void sourceOptions(Scope scope) {
        boolean named = false;
        while (true) {
            if (cursor.tryKeyword("FINAL")) {
                continue;
            }
            if (cursor.tryKeyword("SAMPLE")) {
                ratio();
                if (cursor.tryKeyword("OFFSET")) {
                    ratio();
                }
            } else if (!named && (cursor.tryKeyword("AS") || atAlias())) {
                cursor.expectName("an alias");
                aliasColumns();
                named = true;
            } else {
                return;
            }
        }
    }

    private boolean atAlias() {
        Token token = tokens.peek();
        return Token.isName(token) && !Vocabulary.EXPRESSION_TERMINATORS.contains(token.upper());
    }

    private void aliasColumns() {
        if (cursor.at(SqlLexer.OPEN_PAREN)) {
            tokens.consume();
            readers.queries.columnNames();
        }
    }

    private void ratio() {
        cursor.expectNumber("a ratio");
        if (cursor.at(SqlLexer.OPERATOR) && tokens.peek().text.equals("/")) {
            tokens.consume();
            cursor.expectNumber("a ratio");
        }
    }

    /**
     * Parses a table name and records a read, unless the name refers to a query of a WITH clause.
     */
    void table(Scope scope) {
        int from = tokens.position();
        String name = tableName();
        boolean simple = tokens.position() == from + 1;
        if (simple && scope.contains(Token.unquoted(tokens.last()))) {
            return;
        }
        analysis.reads.add(name);
    }

    /** Parses {@code [database.]table}; a parameter or a name of three parts is not supported. */
    String tableName() {
        if (cursor.at(SqlLexer.OPEN_BRACE)) {
            throw new UnsupportedSyntaxException(
                    "unsupported parameter in place of a table name", tokens.offset());
        }
        String first = cursor.expectName("a table name");
        if (!cursor.at(SqlLexer.DOT)) {
            return qualified(readers.database, first);
        }
        tokens.consume();
        String second = cursor.expectName("a table name");
        if (cursor.at(SqlLexer.DOT)) {
            throw new UnsupportedSyntaxException(
                    "unsupported table name of three parts: at most database and table",
                    tokens.offset());
        }
        return qualified(first, second);
    }

    private static String qualified(String database, String table) {
        return database.isEmpty() ? quoted(table) : quoted(database) + "." + quoted(table);
    }

    private static String quoted(String part) {
        return part.indexOf('.') >= 0 ? "`" + part + "`" : part;
    }

    /** Parses a table function. */
    void function(Scope scope) {
        String name = cursor.expectName("a table function name");
        String lower = name.toLowerCase(Locale.ROOT);
        tokens.consume();
        if (lower.equals("view") || lower.equals("viewifpermitted")) {
            if (!readers.queries.startsQuery()) {
                throw cursor.unexpected("a query");
            }
            cursor.enter();
            readers.queries.query(scope);
            if (cursor.tryKeyword("ELSE")) {
                readers.expressions.expression(scope);
            }
            cursor.expect(SqlLexer.CLOSE_PAREN, "the closing parenthesis of a view");
            cursor.exit();
            return;
        }
        if (Vocabulary.EXTERNAL_TABLE_FUNCTIONS.contains(lower)) {
            analysis.markUnsafe("table function " + lower + " reads external data");
            analysis.tablesComplete = false;
        } else if (Vocabulary.PATTERN_TABLE_FUNCTIONS.contains(lower)) {
            analysis.tablesComplete = false;
        } else if (!Vocabulary.LOCAL_TABLE_FUNCTIONS.contains(lower)) {
            throw new UnsupportedSyntaxException("unknown table function", tokens.last().start);
        }
        analysis.nondeterministic |= lower.equals("generaterandom") || lower.equals("fuzzjson");
        readers.expressions.parenthesized(scope);
    }
}
