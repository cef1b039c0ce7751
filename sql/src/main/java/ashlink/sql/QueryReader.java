package ashlink.sql;

import ashlink.sql.Token.Role;
import ashlink.sql.grammar.SqlLexer;
import java.util.Locale;

/** Reads queries: their clauses, the tables after FROM and JOIN, names given by WITH. */
final class QueryReader {

    private final Tokens tokens;
    private final AnalysisBuilder found;
    private final String database;
    private final ExpressionReader expressions;

    QueryReader(Tokens tokens, AnalysisBuilder found, String database) {
        this.tokens = tokens;
        this.found = found;
        this.database = database;
        this.expressions = new ExpressionReader(tokens, found, this);
    }

    ExpressionReader expressions() {
        return expressions;
    }

    /** True where a query starts, after any number of brackets. */
    boolean startsQuery() {
        int i = 0;
        while (tokens.peek(i) != null && tokens.peek(i).type == SqlLexer.OPEN) {
            i++;
        }
        Token token = tokens.peek(i);
        Token next = tokens.peek(i + 1);
        boolean name =
                next != null
                        && (next.type == SqlLexer.DOT
                                || next.type == SqlLexer.COMMA
                                || next.type == SqlLexer.CLOSE
                                || next.type == SqlLexer.OPERATOR);
        return token != null
                && (token.is("SELECT") || token.is("WITH") && !name)
                && !(token.is("SELECT") && next != null && next.type == SqlLexer.DOT);
    }

    // ---- Queries
    /** Queries joined by UNION, EXCEPT or INTERSECT, and what may follow all of them. */
    void union(Scope outer) {
        Scope scope = new Scope(outer);
        term(scope);
        rest(scope);
    }

    /** What may follow the first query of several, or of one in brackets. */
    void rest(Scope scope) {
        while (expressions.atWord("UNION")
                || expressions.atWord("EXCEPT")
                || expressions.atWord("INTERSECT")) {
            expressions.keyword();
            if (!expressions.tryWord("ALL")) {
                expressions.tryWord("DISTINCT");
            }
            term(scope);
        }
        while (clause(scope)) {
            // of a query in brackets
        }
        tail(scope);
    }

    private void term(Scope scope) {
        if (expressions.at(SqlLexer.OPEN)) {
            tokens.take();
            expressions.deeper();
            union(scope);
            expressions.need(SqlLexer.CLOSE, "the end of a query in brackets");
            expressions.shallower();
            return;
        }
        if (expressions.atWord("WITH")) {
            with(scope);
        }
        expressions.needWord("SELECT");
        select(scope);
    }

    /** Names for queries and expressions. Those of queries hide tables from here on. */
    void with(Scope scope) {
        expressions.needWord("WITH");
        Token next = tokens.peek(1);
        boolean recursive = expressions.atWord("RECURSIVE") && ExpressionReader.isName(next);
        if (recursive) {
            expressions.keyword();
        }
        do {
            if (expressions.at(SqlLexer.COMMA)) {
                tokens.take();
            }
            Token second = tokens.peek(1);
            Token third = tokens.peek(2);
            boolean query =
                    ExpressionReader.isName(tokens.peek())
                            && second != null
                            && (second.is("AS") && third != null && third.type == SqlLexer.OPEN
                                    || second.type == SqlLexer.OPEN && columnsThenAs());
            if (query) {
                namedQuery(scope, recursive);
            } else {
                expressions.expression(scope); // with its alias
            }
        } while (expressions.at(SqlLexer.COMMA));
    }

    /** {@code name (a, b) AS (}: columns of a named query, no call. */
    private boolean columnsThenAs() {
        int i = 2;
        while (tokens.peek(i) != null
                && (ExpressionReader.isName(tokens.peek(i))
                        || tokens.peek(i).type == SqlLexer.COMMA)) {
            i++;
        }
        Token close = tokens.peek(i);
        Token as = tokens.peek(i + 1);
        Token open = tokens.peek(i + 2);
        return close != null
                && close.type == SqlLexer.CLOSE
                && as != null
                && as.is("AS")
                && open != null
                && open.type == SqlLexer.OPEN;
    }

    private void namedQuery(Scope scope, boolean recursive) {
        String name = expressions.name("a name");
        if (expressions.at(SqlLexer.OPEN)) {
            tokens.take();
            names();
        }
        expressions.needWord("AS");
        tokens.take();
        if (!startsQuery()) { // an expression in brackets: name AS (1 + 2) is of no query
            throw expressions.unexpected("a query");
        }
        Scope inner = new Scope(scope);
        if (recursive) {
            inner.add(name);
        }
        expressions.deeper();
        union(inner);
        expressions.need(SqlLexer.CLOSE, "the end of a named query");
        expressions.shallower();
        scope.add(name);
    }

    private void names() {
        while (!expressions.at(SqlLexer.CLOSE)) {
            expressions.name("a column");
            if (expressions.at(SqlLexer.COMMA)) {
                tokens.take();
            }
        }
        tokens.take();
    }

    private void select(Scope scope) {
        if (expressions.atWord("DISTINCT")) {
            expressions.keyword();
            if (expressions.tryWord("ON")) {
                expressions.need(SqlLexer.OPEN, "columns in brackets");
                expressions.parenthesis(scope);
            }
        }
        if (expressions.atWord("TOP")
                && tokens.peek(1) != null
                && (tokens.peek(1).type == SqlLexer.NUMBER
                        || tokens.peek(1).type == SqlLexer.QUESTION)) {
            expressions.keyword();
            expressions.number("a number of rows");
            if (expressions.tryWord("WITH")) {
                expressions.needWord("TIES");
            }
        }
        expressions.list(scope);
        if (expressions.tryWord("FROM")) {
            from(scope);
        }
        while (clause(scope)) {
            // in the order in which they come
        }
    }

    private boolean clause(Scope scope) {
        Token token = tokens.peek();
        if (token == null) {
            return false;
        }
        switch (token.upper()) {
            case "PREWHERE", "WHERE", "HAVING", "QUALIFY" -> {
                expressions.keyword();
                expressions.expression(scope);
            }
            case "GROUP" -> group(scope);
            case "WINDOW" -> {
                do {
                    tokens.take().role =
                            expressions.at(SqlLexer.COMMA) ? Role.SYMBOL : Role.KEYWORD;
                    expressions.name("a window");
                    expressions.needWord("AS");
                    expressions.need(SqlLexer.OPEN, "a window in brackets");
                    expressions.window(scope);
                } while (expressions.at(SqlLexer.COMMA));
            }
            case "ORDER" -> {
                expressions.keyword();
                expressions.needWord("BY");
                orderList(scope);
            }
            case "LIMIT" -> limit(scope);
            case "OFFSET" -> {
                expressions.keyword();
                expressions.expression(scope);
                if (!expressions.tryWord("ROW")) {
                    expressions.tryWord("ROWS");
                }
            }
            case "FETCH" -> fetch(scope);
            case "WITH" -> {
                expressions.keyword();
                if (!expressions.tryWord("TOTALS") && !expressions.tryWord("CUBE")) {
                    expressions.needWord("ROLLUP");
                }
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private void group(Scope scope) {
        expressions.keyword();
        expressions.needWord("BY");
        if (expressions.tryWord("ALL")) {
            return;
        }
        if (expressions.atWords("GROUPING", "SETS")) {
            expressions.keyword();
            expressions.keyword();
        }
        expressions.list(scope);
    }

    /** Expressions with their directions and fillings. */
    void orderList(Scope scope) {
        if (expressions.atWord("ALL")
                && (tokens.peek(1) == null
                        || tokens.peek(1).type == SqlLexer.CLOSE
                        || Vocabulary.CLAUSES.contains(tokens.peek(1).upper()))) {
            expressions.keyword();
            direction(scope);
            return;
        }
        do {
            if (expressions.at(SqlLexer.COMMA)) {
                tokens.take();
            }
            expressions.expression(scope);
            direction(scope);
        } while (expressions.at(SqlLexer.COMMA));
        if (expressions.tryWord("INTERPOLATE") && expressions.at(SqlLexer.OPEN)) {
            tokens.take();
            expressions.parenthesis(scope);
        }
    }

    private void direction(Scope scope) {
        while (true) {
            if (expressions.tryWord("ASC")
                    || expressions.tryWord("DESC")
                    || expressions.tryWord("ASCENDING")
                    || expressions.tryWord("DESCENDING")) {
                continue;
            }
            if (expressions.tryWord("NULLS")) {
                if (!expressions.tryWord("FIRST")) {
                    expressions.needWord("LAST");
                }
            } else if (expressions.tryWord("COLLATE")
                    || expressions.tryWord("FROM")
                    || expressions.tryWord("TO")
                    || expressions.tryWord("STEP")
                    || expressions.tryWord("STALENESS")) {
                expressions.expression(scope);
            } else if (expressions.atWords("WITH", "FILL")) {
                expressions.keyword();
                expressions.keyword();
            } else {
                return;
            }
        }
    }

    private void limit(Scope scope) {
        expressions.keyword();
        expressions.expression(scope);
        if (expressions.at(SqlLexer.COMMA)) {
            tokens.take();
            expressions.expression(scope);
        }
        if (expressions.tryWord("OFFSET")) {
            expressions.expression(scope);
        }
        if (expressions.tryWord("BY")) {
            expressions.list(scope);
        } else if (expressions.atWords("WITH", "TIES")) {
            expressions.keyword();
            expressions.keyword();
        }
    }

    private void fetch(Scope scope) {
        expressions.keyword();
        if (!expressions.tryWord("FIRST")) {
            expressions.needWord("NEXT");
        }
        if (!expressions.atWord("ROW") && !expressions.atWord("ROWS")) {
            expressions.expression(scope);
        }
        if (!expressions.tryWord("ROWS")) {
            expressions.needWord("ROW");
        }
        if (!expressions.tryWord("ONLY")) {
            expressions.needWord("WITH");
            expressions.needWord("TIES");
        }
    }

    /** What may follow a whole query: where to, in which form, under which settings. */
    void tail(Scope scope) {
        while (true) {
            if (expressions.atWords("INTO", "OUTFILE")) {
                expressions.keyword();
                expressions.keyword();
                expressions.literal("a file");
                found.doubt("it writes a file at the client");
                while (expressions.tryWord("AND")
                        || expressions.tryWord("STDOUT")
                        || expressions.tryWord("APPEND")
                        || expressions.tryWord("TRUNCATE")) {
                    // ways to write it
                }
                if (expressions.tryWord("COMPRESSION")) {
                    expressions.literal("a compression");
                }
            } else if (expressions.tryWord("FORMAT")) {
                expressions.name("a format");
            } else if (expressions.tryWord("SETTINGS")) {
                settings();
            } else {
                return;
            }
        }
    }

    /** {@code name = value} with commas between. */
    void settings() {
        do {
            if (expressions.at(SqlLexer.COMMA)) {
                tokens.take();
            }
            String name = expressions.name("a setting");
            expressions.need(SqlLexer.OPERATOR, "=");
            int from = tokens.at();
            expressions.expression(new Scope(null));
            Token last = tokens.last();
            found.settings.put(name, last.from >= from ? last.text : "");
        } while (expressions.at(SqlLexer.COMMA));
    }

    // ---- Tables
    /** What follows FROM: tables, queries and calls, joined. */
    private void from(Scope scope) {
        item(scope);
        while (true) {
            if (expressions.at(SqlLexer.COMMA)) {
                tokens.take();
                item(scope);
            } else if (isArrayJoin()) {
                while (!expressions.tryWord("JOIN")) {
                    expressions.keyword();
                }
                expressions.list(scope);
            } else if (isJoin()) {
                while (!expressions.tryWord("JOIN")) {
                    expressions.keyword();
                }
                item(scope);
                if (expressions.tryWord("ON")) {
                    expressions.expression(scope);
                } else if (expressions.tryWord("USING")) {
                    expressions.list(scope);
                }
            } else {
                return;
            }
        }
    }

    private boolean isArrayJoin() {
        return expressions.atWords("ARRAY", "JOIN")
                || (expressions.atWord("LEFT") || expressions.atWord("INNER"))
                        && tokens.peek(1) != null
                        && tokens.peek(1).is("ARRAY");
    }

    private boolean isJoin() {
        int i = 0;
        while (tokens.peek(i) != null && Vocabulary.JOINS.contains(tokens.peek(i).upper())) {
            i++;
        }
        return tokens.peek(i) != null && tokens.peek(i).is("JOIN");
    }

    private void item(Scope scope) {
        if (expressions.at(SqlLexer.OPEN)) {
            boolean query = startsQuery();
            tokens.take();
            expressions.deeper();
            if (query) {
                union(scope);
            } else {
                from(scope);
            }
            expressions.need(SqlLexer.CLOSE, "the end of a bracket");
            expressions.shallower();
        } else if (ExpressionReader.isName(tokens.peek())
                && tokens.peek(1) != null
                && tokens.peek(1).type == SqlLexer.OPEN) {
            function(scope);
        } else {
            table(scope);
        }
        extras(scope);
    }

    private void extras(Scope scope) {
        boolean named = false;
        while (true) {
            if (expressions.tryWord("FINAL")) {
                continue;
            }
            if (expressions.tryWord("SAMPLE")) {
                ratio();
                if (expressions.tryWord("OFFSET")) {
                    ratio();
                }
            } else if (!named && (expressions.tryWord("AS") || isAlias())) {
                expressions.name("an alias");
                aliasColumns();
                named = true;
            } else {
                return;
            }
        }
    }

    private boolean isAlias() {
        Token token = tokens.peek();
        return ExpressionReader.isName(token) && !Vocabulary.CLAUSES.contains(token.upper());
    }

    private void aliasColumns() {
        if (expressions.at(SqlLexer.OPEN)) {
            tokens.take();
            names();
        }
    }

    private void ratio() {
        expressions.number("a ratio");
        if (expressions.at(SqlLexer.OPERATOR) && tokens.peek().text.equals("/")) {
            tokens.take();
            expressions.number("a ratio");
        }
    }

    /** A table that is read, unless its name stands for a query. */
    void table(Scope scope) {
        int from = tokens.place();
        String name = tableName();
        boolean simple = tokens.place() == from + 1;
        if (simple && scope.has(ExpressionReader.plain(tokens.last()))) {
            return;
        }
        found.reads.add(name);
    }

    /**
     * Takes {@code [database.]table}; a parameter in its place, or three parts, is not understood.
     */
    String tableName() {
        if (expressions.at(SqlLexer.OPEN_CURLY)) {
            throw new UnsupportedSyntaxException("a table whose name is a parameter", tokens.at());
        }
        String first = expressions.name("a table");
        if (!expressions.at(SqlLexer.DOT)) {
            return qualified(database, first);
        }
        tokens.take();
        String second = expressions.name("a table");
        if (expressions.at(SqlLexer.DOT)) {
            throw new UnsupportedSyntaxException("a name of three parts", tokens.at());
        }
        return qualified(first, second);
    }

    private static String qualified(String database, String table) {
        return database.isEmpty() ? quoted(table) : quoted(database) + "." + quoted(table);
    }

    private static String quoted(String part) {
        return part.indexOf('.') >= 0 ? "`" + part + "`" : part;
    }

    /** A call in place of a table. */
    void function(Scope scope) {
        String name = expressions.name("a table function");
        String lower = name.toLowerCase(Locale.ROOT);
        tokens.take();
        if (lower.equals("view") || lower.equals("viewifpermitted")) {
            if (!startsQuery()) {
                throw expressions.unexpected("a query");
            }
            expressions.deeper();
            union(scope);
            if (expressions.tryWord("ELSE")) {
                expressions.expression(scope);
            }
            expressions.need(SqlLexer.CLOSE, "the end of a view");
            expressions.shallower();
            return;
        }
        if (Vocabulary.OUTSIDE_TABLES.contains(lower)) {
            found.doubt("it reads from outside by " + lower);
            found.allTables = false;
        } else if (Vocabulary.PATTERN_TABLES.contains(lower)) {
            found.allTables = false;
        } else if (!Vocabulary.HARMLESS_TABLES.contains(lower)) {
            throw new UnsupportedSyntaxException("an unknown table function", tokens.last().from);
        }
        found.unstable |= lower.equals("generaterandom") || lower.equals("fuzzjson");
        expressions.parenthesis(scope);
    }
}
