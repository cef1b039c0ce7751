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
        if (!cursor.at(SqlLexer.OPEN)) {
            return;
        }
        analysis.function(name);
        if (name.equalsIgnoreCase("CAST") || name.equalsIgnoreCase("TRY_CAST")) {
            cast(scope);
        } else if (name.equalsIgnoreCase("EXTRACT")
                && Vocabulary.UNITS.contains(keywordInBracket())) {
            tokens.take();
            cursor.takeKeyword();
            cursor.expectKeyword("FROM");
            readers.expressions.bracketed(SqlLexer.CLOSE, scope);
        } else if (name.equalsIgnoreCase("SUBSTRING")
                || name.equalsIgnoreCase("TRIM")
                || name.equalsIgnoreCase("POSITION")) {
            callWithKeywords(scope);
        } else {
            tokens.take();
            readers.expressions.parenthesis(scope);
            if (cursor.at(SqlLexer.OPEN)) { // the first parentheses held parameters
                tokens.take();
                readers.expressions.parenthesis(scope);
            }
        }
    }

    private String keywordInBracket() {
        Token token = tokens.peek(1);
        return token == null ? "" : token.upper();
    }

    private void cast(Scope scope) {
        tokens.take();
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
        cursor.expect(SqlLexer.CLOSE, "the closing parenthesis of a cast");
        cursor.exit();
    }

    /** Parses a call that may have keywords between the arguments. */
    private void callWithKeywords(Scope scope) {
        tokens.take();
        cursor.enter();
        for (String text : new String[] {"BOTH", "LEADING", "TRAILING"}) {
            cursor.tryKeyword(text);
        }
        if (!cursor.atKeyword("FROM")) {
            readers.expressions.expression(scope);
        }
        while (!cursor.at(SqlLexer.CLOSE)) {
            if (!cursor.tryKeyword("FROM") && !cursor.tryKeyword("FOR")) {
                cursor.expect(SqlLexer.COMMA, "FROM, FOR, a comma or a closing parenthesis");
            }
            readers.expressions.expression(scope);
        }
        tokens.take();
        cursor.exit();
    }
}
