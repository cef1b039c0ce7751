package ashlink.sql;

import ashlink.sql.Token.Role;
import ashlink.sql.grammar.SqlLexer;
import java.util.Set;

/** Parses statements that define tables and other objects, or change rows by a condition. */
final class DefinitionReader {

    /** Keywords that may stand between the first keyword of a definition and the object name. */
    private static final Set<String> DEFINITION_KEYWORDS =
            Set.of(
                    "TABLE",
                    "VIEW",
                    "DATABASE",
                    "DICTIONARY",
                    "FUNCTION",
                    "TABLES",
                    "DATABASES",
                    "TEMPORARY",
                    "MATERIALIZED",
                    "LIVE",
                    "WINDOW",
                    "OR",
                    "REPLACE",
                    "IF",
                    "NOT",
                    "EXISTS",
                    "SYNC",
                    "PERMANENTLY",
                    "INDEX",
                    "NAMED",
                    "COLLECTION",
                    "USER",
                    "ROLE",
                    "QUOTA",
                    "POLICY",
                    "ROW",
                    "SETTINGS",
                    "PROFILE",
                    "UNIQUE",
                    "WORKLOAD",
                    "RESOURCE",
                    "ALL",
                    "FROM",
                    "COLUMN",
                    "CONSTRAINT");

    /** Kinds of object that belong to access control or to the server and are not tables. */
    private static final Set<String> NON_TABLE_OBJECTS =
            Set.of(
                    "USER",
                    "ROLE",
                    "QUOTA",
                    "POLICY",
                    "PROFILE",
                    "COLLECTION",
                    "WORKLOAD",
                    "RESOURCE");

    private final Readers readers;
    private final TokenCursor cursor;
    private final Tokens tokens;
    private final AnalysisBuilder analysis;

    DefinitionReader(Readers readers) {
        this.readers = readers;
        this.cursor = readers.cursor;
        this.tokens = readers.tokens;
        this.analysis = readers.analysis;
    }

    /** Parses CREATE, DROP and similar statements: the kind of the object, then the object name. */
    StatementKind define() {
        cursor.consumeKeyword();
        boolean database = false;
        boolean access = false;
        boolean all = false;
        boolean table = false;
        while (tokens.peek() != null && DEFINITION_KEYWORDS.contains(tokens.peek().upper())) {
            Token next = tokens.peek(1);
            if (table && next != null && next.type == SqlLexer.DOT) {
                break; // the keyword is the name of a database here
            }
            database |= cursor.atKeyword("DATABASE");
            all |= cursor.atKeyword("ALL") || cursor.atKeyword("TABLES");
            table |=
                    cursor.atKeyword("TABLE")
                            || cursor.atKeyword("VIEW")
                            || cursor.atKeyword("DICTIONARY");
            access |=
                    NON_TABLE_OBJECTS.contains(tokens.peek().upper())
                            || cursor.atKeyword("FUNCTION");
            cursor.consumeKeyword();
        }
        if (access || all || database) {
            analysis.tablesComplete = false;
            return readers.statements.skipRest(
                    access ? StatementKind.ADMINISTRATION : StatementKind.DDL);
        }
        analysis.writes.add(readers.tables.tableName());
        return readers.statements.skipRest(StatementKind.DDL);
    }

    /** Parses ALTER of a table or of another object. */
    StatementKind alter() {
        cursor.consumeKeyword();
        if (!cursor.atKeyword("TABLE")) {
            analysis.tablesComplete = false;
            return readers.statements.requireRest(StatementKind.ADMINISTRATION);
        }
        cursor.consumeKeyword();
        analysis.writes.add(readers.tables.tableName());
        if (cursor.tryKeyword("ON")) {
            cursor.expectKeyword("CLUSTER");
            cursor.expectName("a cluster name");
        }
        boolean changesRows = cursor.atKeyword("DELETE") || cursor.atKeyword("UPDATE");
        return readers.statements.skipRest(changesRows ? StatementKind.WRITE : StatementKind.DDL);
    }

    /** Parses RENAME and EXCHANGE of tables or other objects. */
    StatementKind rename() {
        cursor.consumeKeyword();
        if (!cursor.tryKeyword("TABLE")
                && !cursor.tryKeyword("TABLES")
                && !cursor.tryKeyword("DICTIONARY")) {
            analysis.tablesComplete = false;
            return readers.statements.skipRest(StatementKind.DDL);
        }
        do {
            if (cursor.at(SqlLexer.COMMA)) {
                tokens.consume();
            }
            analysis.writes.add(readers.tables.tableName());
            if (!cursor.tryKeyword("TO")) {
                cursor.expectKeyword("AND");
            }
            analysis.writes.add(readers.tables.tableName());
        } while (cursor.at(SqlLexer.COMMA));
        return readers.statements.skipRest(StatementKind.DDL);
    }

    /** Parses the table and the condition of a DELETE or UPDATE. */
    StatementKind changeByCondition() {
        analysis.writes.add(readers.tables.tableName());
        while (tokens.peek() != null && !cursor.at(SqlLexer.SEMICOLON)) {
            if (cursor.atKeyword("SET")
                    || cursor.atKeyword("WHERE")
                    || cursor.atKeyword("ON")
                    || cursor.atKeyword("IN")
                    || cursor.atKeyword("CLUSTER")
                    || cursor.atKeyword("PARTITION")
                    || cursor.at(SqlLexer.COMMA)) {
                Token token = tokens.consume();
                token.role = token.type == SqlLexer.WORD ? Role.KEYWORD : Role.SYMBOL;
            } else if (cursor.tryKeyword("SETTINGS")) {
                readers.clauses.settings();
            } else {
                readers.expressions.expression(new Scope(null));
            }
        }
        return StatementKind.WRITE;
    }
}
