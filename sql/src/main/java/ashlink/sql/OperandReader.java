package ashlink.sql;

import ashlink.sql.Token.Role;
import ashlink.sql.grammar.SqlLexer;

/** Parses operands: literals, signs, parentheses, arrays, maps, names, intervals and CASE. */
final class OperandReader {

    private final Readers readers;
    private final TokenCursor cursor;
    private final Tokens tokens;

    OperandReader(Readers readers) {
        this.readers = readers;
        this.cursor = readers.cursor;
        this.tokens = readers.tokens;
    }

    /** Parses one operand without the operators that follow. */
    void operand(Scope scope) {
        if (tokens.peek() == null) {
            throw cursor.unexpected("an operand");
        }
        cursor.enter();
        operandAt(tokens.peek(), scope);
        cursor.exit();
    }

    private void operandAt(Token token, Scope scope) {
        switch (token.type) {
            case SqlLexer.NUMBER, SqlLexer.STRING, SqlLexer.QUESTION, SqlLexer.MANY ->
                    tokens.take().role = Role.LITERAL;
            case SqlLexer.STAR -> tokens.take();
            case SqlLexer.PLUS, SqlLexer.MINUS -> signed(scope);
            case SqlLexer.OPEN -> {
                tokens.take();
                readers.expressions.parenthesis(scope);
            }
            case SqlLexer.OPEN_SQUARE -> {
                tokens.take();
                readers.expressions.bracketed(SqlLexer.CLOSE_SQUARE, scope);
            }
            case SqlLexer.OPEN_CURLY -> braces(scope);
            case SqlLexer.WORD -> word(scope);
            case SqlLexer.BACKTICKED, SqlLexer.QUOTED -> readers.calls.nameOrCall(scope);
            default -> throw cursor.unexpected("an operand");
        }
    }

    /** Parses a signed operand; a sign before a number is part of the literal. */
    private void signed(Scope scope) {
        Token sign = tokens.take();
        if (cursor.at(SqlLexer.NUMBER)) {
            sign.role = Role.DROPPED;
        }
        operand(scope);
    }

    /** Parses a parameter {@code {name:Type}}, or a map. */
    private void braces(Scope scope) {
        tokens.take();
        Token second = tokens.peek(1);
        if (Token.isName(tokens.peek()) && second != null && second.type == SqlLexer.COLON) {
            cursor.expectName("a parameter name");
            tokens.take();
            readers.types.type();
            cursor.expect(SqlLexer.CLOSE_CURLY, "the closing brace of a parameter");
            return;
        }
        cursor.enter();
        while (!cursor.at(SqlLexer.CLOSE_CURLY)) {
            readers.expressions.expression(scope);
            if (cursor.at(SqlLexer.COLON) || cursor.at(SqlLexer.COMMA)) {
                tokens.take();
            }
        }
        tokens.take();
        cursor.exit();
    }

    private void word(Scope scope) {
        Token token = tokens.peek();
        Token next = tokens.peek(1);
        boolean call = next != null && next.type == SqlLexer.OPEN;
        boolean part = next != null && next.type == SqlLexer.DOT;
        String text = token.upper();
        if (text.equals("CASE") && !part && !call) {
            caseExpression(scope);
        } else if (text.equals("NOT") && !part) {
            cursor.takeKeyword();
            operand(scope);
        } else if ((text.equals("DISTINCT") || text.equals("ALL")) && !part && !isEnd(next)) {
            cursor.takeKeyword();
            operand(scope);
        } else if (text.equals("INTERVAL")
                && !part
                && next != null
                && next.type != SqlLexer.COMMA
                && !isEnd(next)
                && startsInterval(next)) {
            interval(scope);
        } else if ((text.equals("DATE") || text.equals("TIMESTAMP"))
                && next != null
                && (next.type == SqlLexer.STRING || next.type == SqlLexer.QUESTION)) {
            cursor.takeKeyword();
            tokens.take().role = Role.LITERAL;
        } else if (Vocabulary.LITERALS.contains(text) && !part && !call) {
            tokens.take().role = Role.LITERAL;
        } else if (text.equals("EXISTS") && call) {
            cursor.takeKeyword();
            tokens.take();
            readers.expressions.parenthesis(scope);
        } else if (text.equals("SELECT") || text.equals("FROM") && !call && !part) {
            throw cursor.unexpected("an operand");
        } else {
            readers.calls.nameOrCall(scope);
        }
    }

    private static boolean isEnd(Token token) {
        return token == null
                || token.type == SqlLexer.CLOSE
                || token.type == SqlLexer.COMMA
                || token.type == SqlLexer.OPERATOR;
    }

    private static boolean startsInterval(Token token) {
        return token.type == SqlLexer.NUMBER
                || token.type == SqlLexer.STRING
                || token.type == SqlLexer.OPEN
                || token.type == SqlLexer.MINUS
                || token.type == SqlLexer.QUESTION
                || Token.isName(token) && !Vocabulary.CLAUSES.contains(token.upper());
    }

    private void interval(Scope scope) {
        cursor.takeKeyword();
        boolean text = cursor.at(SqlLexer.STRING) || cursor.at(SqlLexer.QUESTION);
        operand(scope);
        while (!atUnit() && readers.operators.tryOperator(scope)) {
            // the amount of the interval may be an expression
        }
        if (atUnit()) {
            cursor.takeKeyword();
        } else if (!text) {
            throw cursor.unexpected("an interval unit");
        }
    }

    private boolean atUnit() {
        Token token = tokens.peek();
        return token != null && Vocabulary.UNITS.contains(token.upper());
    }

    private void caseExpression(Scope scope) {
        cursor.takeKeyword();
        cursor.enter();
        if (!cursor.atKeyword("WHEN")) {
            readers.expressions.expression(scope);
        }
        while (cursor.tryKeyword("WHEN")) {
            readers.expressions.expression(scope);
            cursor.expectKeyword("THEN");
            readers.expressions.expression(scope);
        }
        if (cursor.tryKeyword("ELSE")) {
            readers.expressions.expression(scope);
        }
        cursor.expectKeyword("END");
        cursor.exit();
    }
}
