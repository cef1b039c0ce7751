package ashlink.sql;

import ashlink.sql.Token.Role;
import ashlink.sql.grammar.SqlLexer;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Reads texts of statements. A reader is stateless and safe for many threads; time and memory grow
 * with the length of the text up to its limits, past which the text is unknown. Data that follows
 * an INSERT is not looked at.
 */
public final class StatementReader {

    /** Tokens of one text: a list of half a million values. */
    public static final int MOST_TOKENS = 1_000_000;

    /** Words that name what a data definition is about, before its name. */
    private static final Set<String> OBJECTS =
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

    private static final Set<String> ACCESS =
            Set.of(
                    "USER",
                    "ROLE",
                    "QUOTA",
                    "POLICY",
                    "PROFILE",
                    "COLLECTION",
                    "WORKLOAD",
                    "RESOURCE");

    private final int mostTokens;

    /** A reader with the usual limit. */
    public StatementReader() {
        this(MOST_TOKENS);
    }

    /** A reader that takes so many tokens. */
    public StatementReader(int mostTokens) {
        this.mostTokens = mostTokens;
    }

    /** Reads a text; {@code database} is the connection's, empty where there is none. */
    public StatementAnalysis read(String text, String database) {
        Tokens tokens = new Tokens(text, mostTokens);
        AnalysisBuilder found = new AnalysisBuilder();
        Kind kind = Kind.UNKNOWN;
        String reason = "";
        int at = -1;
        try {
            kind = new Statement(tokens, found, database).text();
        } catch (UnsupportedSyntaxException e) {
            reason = e.getMessage();
            at = e.at();
        } catch (StackOverflowError e) {
            // The limit on depth is for a thread's whole stack; what a caller has used of it, and
            // how large frames are
            // before they are compiled, is not known here. An honest answer all the same.
            reason = "brackets or operators too deep within each other for this thread";
            at = tokens.at();
        }
        boolean known = kind != Kind.UNKNOWN;
        String normal =
                known
                        ? NormalizedSql.of(tokens.taken())
                        : "unknown " + NormalizedSql.rough(text, mostTokens);
        boolean harmless = kind == Kind.READ && found.doubt.isEmpty();
        return new StatementAnalysis(
                kind,
                Collections.unmodifiableSortedSet(known ? found.reads : new TreeSet<>()),
                Collections.unmodifiableSortedSet(known ? found.writes : new TreeSet<>()),
                known && found.allTables,
                harmless,
                found.unstable || !known,
                known && found.takesData,
                known ? Map.copyOf(new TreeMap<>(found.settings)) : Map.of(),
                NormalizedSql.fingerprint(normal),
                normal,
                known && !harmless && kind == Kind.READ ? found.doubt : reason,
                at);
    }

    /** One text under reading. */
    private static final class Statement {
        private final Tokens tokens;
        private final AnalysisBuilder found;
        private final QueryReader queries;
        private final ExpressionReader words;
        private final String database;

        Statement(Tokens tokens, AnalysisBuilder found, String database) {
            this.tokens = tokens;
            this.found = found;
            this.database = database;
            this.queries = new QueryReader(tokens, found, database);
            this.words = queries.expressions();
        }

        /** The whole text: one statement, or several. */
        Kind text() {
            Kind first = null;
            int statements = 0;
            while (true) {
                while (words.at(SqlLexer.SEMICOLON)) {
                    tokens.take().role = Role.DROPPED;
                }
                if (tokens.peek() == null) {
                    break;
                }
                if (statements > 0) {
                    tokens.last().role = Role.SYMBOL; // the semicolon between two counts
                }
                Kind kind = one();
                statements++;
                first = first == null ? kind : first;
                if (found.takesData) {
                    break; // the rest is data
                }
                if (tokens.peek() != null && !words.at(SqlLexer.SEMICOLON)) {
                    throw words.unexpected("the end of the statement");
                }
            }
            if (statements == 0) {
                throw new UnsupportedSyntaxException("there is no statement", 0);
            }
            return statements > 1 ? Kind.SEVERAL : first;
        }

        private Kind one() {
            if (queries.startsQuery()) {
                return query();
            }
            Token token = tokens.peek();
            switch (token.upper()) {
                case "INSERT" -> {
                    return insert(new Scope(null));
                }
                case "EXPLAIN" -> {
                    return explain();
                }
                case "SHOW" -> {
                    return some(Kind.READ);
                }
                case "DESCRIBE", "DESC" -> {
                    return describe();
                }
                case "EXISTS" -> {
                    return exists();
                }
                case "CREATE", "ATTACH", "DETACH", "DROP", "TRUNCATE", "UNDROP" -> {
                    return define();
                }
                case "ALTER" -> {
                    return alter();
                }
                case "RENAME", "EXCHANGE" -> {
                    return rename();
                }
                case "DELETE" -> {
                    words.keyword();
                    words.needWord("FROM");
                    found.writes.add(queries.tableName());
                    return condition();
                }
                case "UPDATE" -> {
                    words.keyword();
                    found.writes.add(queries.tableName());
                    return condition();
                }
                case "OPTIMIZE" -> {
                    words.keyword();
                    words.needWord("TABLE");
                    found.writes.add(queries.tableName());
                    return rest(Kind.ADMINISTRATION);
                }
                case "CHECK" -> {
                    words.keyword();
                    words.needWord("TABLE");
                    found.reads.add(queries.tableName());
                    return rest(Kind.ADMINISTRATION);
                }
                case "SET" -> {
                    return set();
                }
                case "USE" -> {
                    words.keyword();
                    words.name("a database");
                    return Kind.SESSION;
                }
                case "BEGIN", "START", "COMMIT", "ROLLBACK" -> {
                    return transaction();
                }
                case "SYSTEM", "KILL", "GRANT", "REVOKE", "BACKUP", "RESTORE" -> {
                    found.allTables = false;
                    return some(Kind.ADMINISTRATION);
                }
                default ->
                        throw new UnsupportedSyntaxException(
                                "no statement starts like this", tokens.at());
            }
        }

        /** A query; named queries may also come before an INSERT. */
        private Kind query() {
            if (words.atWord("WITH")) {
                Scope scope = new Scope(null);
                queries.with(scope);
                if (words.atWord("INSERT")) {
                    return insert(scope);
                }
                queries.union(scope);
                return Kind.READ;
            }
            queries.union(new Scope(null));
            return Kind.READ;
        }

        private Kind insert(Scope scope) {
            words.keyword();
            words.needWord("INTO");
            words.tryWord("TABLE");
            boolean function = words.atWord("FUNCTION") && ExpressionReader.isName(tokens.peek(1));
            if (function) {
                words.keyword();
                words.name("a table function");
                words.need(SqlLexer.OPEN, "arguments");
                words.parenthesis(scope);
                found.allTables = false;
            } else {
                found.writes.add(queries.tableName());
            }
            if (words.at(SqlLexer.OPEN) && !queries.startsQuery()) {
                tokens.take();
                words.parenthesis(scope); // columns
            }
            if (words.tryWord("PARTITION")) {
                words.needWord("BY");
                words.expression(scope);
            }
            boolean infile = false;
            if (words.atWords("FROM", "INFILE")) {
                words.keyword();
                words.keyword();
                words.literal("a file");
                infile = true;
                if (words.tryWord("COMPRESSION")) {
                    words.literal("a compression");
                }
            }
            if (words.tryWord("SETTINGS")) {
                queries.settings();
            }
            if (words.tryWord("FORMAT")) {
                words.name("a format");
                if (words.tryWord("SETTINGS")) {
                    queries.settings();
                }
                found.takesData = !infile;
                return Kind.LOAD;
            }
            if (words.tryWord("VALUES")) {
                found.takesData = true;
                return Kind.LOAD;
            }
            if (infile) {
                return Kind.LOAD;
            }
            if (tokens.peek() == null) {
                found.takesData =
                        true; // the native protocol sends the rows without a word for them
                return Kind.LOAD;
            }
            if (!queries.startsQuery()) {
                throw words.unexpected("VALUES, FORMAT or a query");
            }
            queries.union(scope);
            return Kind.WRITE;
        }

        private Kind explain() {
            words.keyword();
            while (tokens.peek() != null && !queries.startsQuery() && !words.atWord("INSERT")) {
                if (words.at(SqlLexer.SEMICOLON)) {
                    throw words.unexpected("a statement");
                }
                Token token = tokens.take();
                token.role =
                        token.type == SqlLexer.WORD
                                ? Role.KEYWORD
                                : token.type == SqlLexer.NUMBER ? Role.LITERAL : Role.SYMBOL;
            }
            if (words.atWord("INSERT")) {
                insert(new Scope(null));
                found.reads.addAll(found.writes);
                found.writes.clear();
                found.takesData = false;
                return Kind.READ;
            }
            return query();
        }

        private Kind describe() {
            words.keyword();
            words.tryWord("TABLE");
            if (queries.startsQuery()) {
                tokens.take();
                words.deeper();
                queries.union(new Scope(null));
                words.need(SqlLexer.CLOSE, "the end of a query in brackets");
                words.shallower();
            } else if (tokens.peek(1) != null && tokens.peek(1).type == SqlLexer.OPEN) {
                queries.function(new Scope(null));
            } else {
                found.reads.add(queries.tableName());
            }
            queries.tail(new Scope(null));
            return Kind.READ;
        }

        private Kind exists() {
            words.keyword();
            boolean database = false;
            while (words.atWord("TEMPORARY")
                    || words.atWord("TABLE")
                    || words.atWord("VIEW")
                    || words.atWord("DICTIONARY")
                    || words.atWord("DATABASE")) {
                database |= words.atWord("DATABASE");
                words.keyword();
            }
            if (database) {
                words.name("a database");
            } else {
                found.reads.add(queries.tableName());
            }
            queries.tail(new Scope(null));
            return Kind.READ;
        }

        /** CREATE, DROP and the like: what they are about is named after some words. */
        private Kind define() {
            words.keyword();
            boolean database = false;
            boolean access = false;
            boolean all = false;
            boolean table = false;
            while (tokens.peek() != null && OBJECTS.contains(tokens.peek().upper())) {
                Token next = tokens.peek(1);
                if (table && next != null && next.type == SqlLexer.DOT) {
                    break; // a database of that name
                }
                database |= words.atWord("DATABASE");
                all |= words.atWord("ALL") || words.atWord("TABLES");
                table |=
                        words.atWord("TABLE") || words.atWord("VIEW") || words.atWord("DICTIONARY");
                access |= ACCESS.contains(tokens.peek().upper()) || words.atWord("FUNCTION");
                words.keyword();
            }
            if (access || all || database) {
                found.allTables = false;
                return rest(access ? Kind.ADMINISTRATION : Kind.DDL);
            }
            found.writes.add(queries.tableName());
            return rest(Kind.DDL);
        }

        private Kind alter() {
            words.keyword();
            if (!words.atWord("TABLE")) {
                found.allTables = false;
                return some(Kind.ADMINISTRATION);
            }
            words.keyword();
            found.writes.add(queries.tableName());
            if (words.tryWord("ON")) {
                words.needWord("CLUSTER");
                words.name("a cluster");
            }
            boolean rows = words.atWord("DELETE") || words.atWord("UPDATE");
            return rest(rows ? Kind.WRITE : Kind.DDL);
        }

        private Kind rename() {
            words.keyword();
            if (!words.tryWord("TABLE")
                    && !words.tryWord("TABLES")
                    && !words.tryWord("DICTIONARY")) {
                found.allTables = false;
                return rest(Kind.DDL);
            }
            do {
                if (words.at(SqlLexer.COMMA)) {
                    tokens.take();
                }
                found.writes.add(queries.tableName());
                if (!words.tryWord("TO")) {
                    words.needWord("AND");
                }
                found.writes.add(queries.tableName());
            } while (words.at(SqlLexer.COMMA));
            return rest(Kind.DDL);
        }

        private Kind condition() {
            while (tokens.peek() != null && !words.at(SqlLexer.SEMICOLON)) {
                if (words.atWord("SET")
                        || words.atWord("WHERE")
                        || words.atWord("ON")
                        || words.atWord("IN")
                        || words.atWord("CLUSTER")
                        || words.atWord("PARTITION")
                        || words.at(SqlLexer.COMMA)) {
                    Token token = tokens.take();
                    token.role = token.type == SqlLexer.WORD ? Role.KEYWORD : Role.SYMBOL;
                } else if (words.tryWord("SETTINGS")) {
                    queries.settings();
                } else {
                    words.expression(new Scope(null));
                }
            }
            return Kind.WRITE;
        }

        private Kind set() {
            words.keyword();
            if (words.atWord("ROLE") || words.atWord("DEFAULT")) {
                return rest(Kind.SESSION);
            }
            if (words.atWord("TRANSACTION")) {
                return rest(Kind.TRANSACTION);
            }
            queries.settings();
            return Kind.SESSION;
        }

        private Kind transaction() {
            boolean start = words.atWord("START");
            words.keyword();
            if (!words.tryWord("TRANSACTION") && start) {
                throw words.unexpected("TRANSACTION");
            }
            return Kind.TRANSACTION;
        }

        /** As {@link #rest}, where something must be left. */
        private Kind some(Kind kind) {
            if (tokens.peek() == null || tokens.peek(1) == null && tokens.place() == 0) {
                throw words.unexpected("the rest of the statement");
            }
            return rest(kind);
        }

        /** Passes over what is left of a statement whose kind is plain; brackets must fit. */
        private Kind rest(Kind kind) {
            int open = 0;
            while (tokens.peek() != null && (open > 0 || !words.at(SqlLexer.SEMICOLON))) {
                Token token = tokens.take();
                boolean opens =
                        token.type == SqlLexer.OPEN
                                || token.type == SqlLexer.OPEN_SQUARE
                                || token.type == SqlLexer.OPEN_CURLY;
                boolean closes =
                        token.type == SqlLexer.CLOSE
                                || token.type == SqlLexer.CLOSE_SQUARE
                                || token.type == SqlLexer.CLOSE_CURLY;
                open += opens ? 1 : closes ? -1 : 0;
                if (open < 0 || token.type == SqlLexer.SEMICOLON) {
                    throw new UnsupportedSyntaxException(
                            "a bracket is not closed, or closes nothing", token.from);
                }
                token.role =
                        token.type == SqlLexer.NUMBER || token.type == SqlLexer.STRING
                                ? Role.LITERAL
                                : ExpressionReader.isName(token) ? Role.NAME : Role.SYMBOL;
            }
            if (open > 0) {
                throw new UnsupportedSyntaxException("a bracket is not closed", tokens.at());
            }
            return kind;
        }
    }
}
