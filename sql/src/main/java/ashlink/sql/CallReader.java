package ashlink.sql;

import ashlink.sql.grammar.SqlLexer;

/** Parses names and function calls, including calls with keywords between the arguments. */
final class CallReader {

    private final Readers readers;
    private final TokenCursor cursor;
    private final Tokens tokens;
    private final AnalysisBuilder analysis;

    CallReader(Readers readers) {
        this.readers = readers;
        this.cursor = readers.cursor;
        this.tokens = readers.tokens;
        this.analysis = readers.analysis;
    }

    /** Parses the first part of a name, or a function call. */
    void nameOrCall(Scope scope) {
        String name = cursor.expectName("a name");
        if (!cursor.at(SqlLexer.OPEN_PAREN)) {
            return;
        }
        analysis.recordFunction(name);
        if (name.equalsIgnoreCase("CAST") || name.equalsIgnoreCase("TRY_CAST")) {
            cast(scope);
        } else if (name.equalsIgnoreCase("EXTRACT")
                && Vocabulary.INTERVAL_UNITS.contains(firstArgumentKeyword())) {
            tokens.consume();
            cursor.consumeKeyword();
            cursor.expectKeyword("FROM");
            readers.expressions.bracketedList(SqlLexer.CLOSE_PAREN, scope);
        } else if (name.equalsIgnoreCase("SUBSTRING")
                || name.equalsIgnoreCase("TRIM")
                || name.equalsIgnoreCase("POSITION")) {
            callWithKeywordArguments(scope);
        } else {
            tokens.consume();
            readers.expressions.parenthesized(scope);
            if (cursor.at(SqlLexer.OPEN_PAREN)) { // the first parentheses held parameters
                tokens.consume();
                readers.expressions.parenthesized(scope);
            }
        }
    }

    private String firstArgumentKeyword() {
        Token token = tokens.peek(1);
        return token == null ? "" : token.upper();
    }

    private void cast(Scope scope) {
        tokens.consume();
        cursor.enter();
        readers.operands.operand(scope);
        while (!cursor.atKeyword("AS") && readers.operators.tryOperator(scope)) {
            // continues to the AS keyword of this cast
        }
        if (cursor.tryKeyword("AS")) {
            readers.types.type();
        } else {
            cursor.expect(SqlLexer.COMMA, "AS or a comma before the type of a cast");
            readers.expressions.expression(scope);
        }
        cursor.expect(SqlLexer.CLOSE_PAREN, "the closing parenthesis of a cast");
        cursor.exit();
    }

    /** Parses a call that may have keywords between the arguments. */
    private void callWithKeywordArguments(Scope scope) {
        tokens.consume();
        cursor.enter();
        for (String text : new String[] {"BOTH", "LEADING", "TRAILING"}) {
            cursor.tryKeyword(text);
        }
        if (!cursor.atKeyword("FROM")) {
            readers.expressions.expression(scope);
        }
        while (!cursor.at(SqlLexer.CLOSE_PAREN)) {
            if (!cursor.tryKeyword("FROM") && !cursor.tryKeyword("FOR")) {
                cursor.expect(SqlLexer.COMMA, "FROM, FOR, a comma or a closing parenthesis");
            }
            readers.expressions.expression(scope);
        }
        tokens.consume();
        cursor.exit();
    }
}
