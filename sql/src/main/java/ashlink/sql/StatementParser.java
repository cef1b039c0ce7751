package ashlink.sql;

import ashlink.sql.Token.Role;
import ashlink.sql.grammar.SqlLexer;
import java.util.Set;

/** Parses a text of one or more statements and determines the kind. */
final class StatementParser {

    private final Readers readers;
    private final TokenCursor cursor;
    private final Tokens tokens;
    private final AnalysisBuilder analysis;

    StatementParser(Readers readers) {
        this.readers = readers;
        this.cursor = readers.cursor;
        this.tokens = readers.tokens;
        this.analysis = readers.analysis;
    }

    /** Parses one or more statements to the end of the text. */
    StatementKind parse() {
        StatementKind first = null;
        int statements = 0;
        while (true) {
            while (cursor.at(SqlLexer.SEMICOLON)) {
                tokens.consume().role = Role.DROPPED;
            }
            if (tokens.peek() == null) {
                break;
            }
            if (statements > 0) {
                // A semicolon between two statements is part of the normalized text.
                tokens.last().role = Role.SYMBOL;
            }
            StatementKind kind = statement();
            statements++;
            first = first == null ? kind : first;
            if (analysis.expectsData) {
                break; // the rest of the text is inserted data
            }
            if (tokens.peek() != null && !cursor.at(SqlLexer.SEMICOLON)) {
                throw cursor.unexpected("the end of the statement");
            }
        }
        if (statements == 0) {
            throw new UnsupportedSyntaxException("missing statement", 0);
        }
        return statements > 1 ? StatementKind.SEVERAL : first;
    }

    private StatementKind statement() {
        if (readers.queries.startsQuery()) {
            return query();
        }
        return switch (tokens.peek().upper()) {
            case "INSERT" -> readers.inserts.insert(new Scope(null));
            case "EXPLAIN" -> explain();
            case "SHOW" -> requireRest(StatementKind.READ);
            case "DESCRIBE", "DESC" -> describe();
            case "EXISTS" -> exists();
            case "CREATE", "ATTACH", "DETACH", "DROP", "TRUNCATE", "UNDROP" ->
                    readers.definitions.define();
            case "ALTER" -> readers.definitions.alter();
            case "RENAME", "EXCHANGE" -> readers.definitions.rename();
            case "DELETE" -> {
                cursor.consumeKeyword();
                cursor.expectKeyword("FROM");
                yield readers.definitions.changeByCondition();
            }
            case "UPDATE" -> {
                cursor.consumeKeyword();
                yield readers.definitions.changeByCondition();
            }
            case "OPTIMIZE" -> maintainTable(analysis.writes);
            case "CHECK" -> maintainTable(analysis.reads);
            case "SET" -> set();
            case "USE" -> use();
            case "BEGIN", "START", "COMMIT", "ROLLBACK" -> transaction();
            case "SYSTEM", "KILL", "GRANT", "REVOKE", "BACKUP", "RESTORE" -> {
                analysis.tablesComplete = false;
                yield requireRest(StatementKind.ADMINISTRATION);
            }
            default ->
                    throw new UnsupportedSyntaxException(
                            "unsupported start of a statement", tokens.offset());
        };
    }

    private StatementKind maintainTable(Set<String> tables) {
        cursor.consumeKeyword();
        cursor.expectKeyword("TABLE");
        tables.add(readers.tables.tableName());
        return skipRest(StatementKind.ADMINISTRATION);
    }

    private StatementKind use() {
        cursor.consumeKeyword();
        cursor.expectName("a database name");
        return StatementKind.SESSION;
    }

    /** Parses a query, or an INSERT after a WITH clause. */
    private StatementKind query() {
        if (cursor.atKeyword("WITH")) {
            Scope scope = new Scope(null);
            readers.queries.with(scope);
            if (cursor.atKeyword("INSERT")) {
                return readers.inserts.insert(scope);
            }
            readers.queries.query(scope);
            return StatementKind.READ;
        }
        readers.queries.query(new Scope(null));
        return StatementKind.READ;
    }

    private StatementKind explain() {
        cursor.consumeKeyword();
        while (tokens.peek() != null
                && !readers.queries.startsQuery()
                && !cursor.atKeyword("INSERT")) {
            if (cursor.at(SqlLexer.SEMICOLON)) {
                throw cursor.unexpected("a statement");
            }
            Token token = tokens.consume();
            token.role =
                    token.type == SqlLexer.WORD
                            ? Role.KEYWORD
                            : token.type == SqlLexer.NUMBER ? Role.LITERAL : Role.SYMBOL;
        }
        if (cursor.atKeyword("INSERT")) {
            readers.inserts.insert(new Scope(null));
            analysis.reads.addAll(analysis.writes);
            analysis.writes.clear();
            analysis.expectsData = false;
            return StatementKind.READ;
        }
        return query();
    }

    private StatementKind describe() {
        cursor.consumeKeyword();
        cursor.tryKeyword("TABLE");
        if (readers.queries.startsQuery()) {
            tokens.consume();
            cursor.enter();
            readers.queries.query(new Scope(null));
            cursor.expect(SqlLexer.CLOSE_PAREN, "a closing parenthesis after a query");
            cursor.exit();
        } else if (tokens.peek(1) != null && tokens.peek(1).type == SqlLexer.OPEN_PAREN) {
            readers.tables.function(new Scope(null));
        } else {
            analysis.reads.add(readers.tables.tableName());
        }
        readers.clauses.outputOptions();
        return StatementKind.READ;
    }

    private StatementKind exists() {
        cursor.consumeKeyword();
        boolean database = false;
        while (cursor.atKeyword("TEMPORARY")
                || cursor.atKeyword("TABLE")
                || cursor.atKeyword("VIEW")
                || cursor.atKeyword("DICTIONARY")
                || cursor.atKeyword("DATABASE")) {
            database |= cursor.atKeyword("DATABASE");
            cursor.consumeKeyword();
        }
        if (database) {
            cursor.expectName("a database name");
        } else {
            analysis.reads.add(readers.tables.tableName());
        }
        readers.clauses.outputOptions();
        return StatementKind.READ;
    }

    private StatementKind set() {
        cursor.consumeKeyword();
        if (cursor.atKeyword("ROLE") || cursor.atKeyword("DEFAULT")) {
            return skipRest(StatementKind.SESSION);
        }
        if (cursor.atKeyword("TRANSACTION")) {
            return skipRest(StatementKind.TRANSACTION);
        }
        readers.clauses.settings();
        return StatementKind.SESSION;
    }

    private StatementKind transaction() {
        boolean start = cursor.atKeyword("START");
        cursor.consumeKeyword();
        if (!cursor.tryKeyword("TRANSACTION") && start) {
            throw cursor.unexpected("TRANSACTION");
        }
        return StatementKind.TRANSACTION;
    }

    /** Skips the rest of a statement as {@link #skipRest} does, but requires at least one token. */
    StatementKind requireRest(StatementKind kind) {
        if (tokens.peek() == null || tokens.peek(1) == null && tokens.position() == 0) {
            throw cursor.unexpected("the rest of the statement");
        }
        return skipRest(kind);
    }

    /** Skips the rest of a statement whose kind is already known; requires balanced brackets. */
    StatementKind skipRest(StatementKind kind) {
        int open = 0;
        while (tokens.peek() != null && (open > 0 || !cursor.at(SqlLexer.SEMICOLON))) {
            Token token = tokens.consume();
            boolean opens =
                    token.type == SqlLexer.OPEN_PAREN
                            || token.type == SqlLexer.OPEN_BRACKET
                            || token.type == SqlLexer.OPEN_BRACE;
            boolean closes =
                    token.type == SqlLexer.CLOSE_PAREN
                            || token.type == SqlLexer.CLOSE_BRACKET
                            || token.type == SqlLexer.CLOSE_BRACE;
            open += opens ? 1 : closes ? -1 : 0;
            if (open < 0 || token.type == SqlLexer.SEMICOLON) {
                throw new UnsupportedSyntaxException("unbalanced bracket", token.start);
            }
            token.role =
                    token.type == SqlLexer.NUMBER || token.type == SqlLexer.STRING
                            ? Role.LITERAL
                            : Token.isName(token) ? Role.NAME : Role.SYMBOL;
        }
        if (open > 0) {
            throw new UnsupportedSyntaxException("unclosed bracket", tokens.offset());
        }
        return kind;
    }
}
