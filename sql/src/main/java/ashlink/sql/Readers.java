package ashlink.sql;

/**
 * Holds the readers that parse one text by recursive descent and call each other, and the state
 * that the readers share: the tokens, the nesting depth and the analysis. Not thread-safe.
 *
 * <p>All readers throw {@link UnsupportedSyntaxException} at unsupported syntax.
 */
final class Readers {

    final Tokens tokens;
    final TokenCursor cursor;
    final AnalysisBuilder analysis;

    /** Database of the connection; empty if there is none. */
    final String database;

    final ExpressionReader expressions;
    final OperandReader operands;
    final CallReader calls;
    final TypeReader types;
    final OperatorReader operators;
    final WindowReader windows;
    final QueryReader queries;
    final ClauseReader clauses;
    final TableReader tables;
    final InsertReader inserts;
    final DefinitionReader definitions;
    final StatementParser statements;

    Readers(Tokens tokens, AnalysisBuilder analysis, String database) {
        this.tokens = tokens;
        this.cursor = new TokenCursor(tokens);
        this.analysis = analysis;
        this.database = database;
        this.expressions = new ExpressionReader(this);
        this.operands = new OperandReader(this);
        this.calls = new CallReader(this);
        this.types = new TypeReader(this);
        this.operators = new OperatorReader(this);
        this.windows = new WindowReader(this);
        this.queries = new QueryReader(this);
        this.clauses = new ClauseReader(this);
        this.tables = new TableReader(this);
        this.inserts = new InsertReader(this);
        this.definitions = new DefinitionReader(this);
        this.statements = new StatementParser(this);
    }
}
