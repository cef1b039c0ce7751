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
            case SqlLexer.NUMBER, SqlLexer.STRING, SqlLexer.QUESTION, SqlLexer.QUESTION_PLUS ->
                    tokens.consume().role = Role.LITERAL;
            case SqlLexer.STAR -> tokens.consume();
            case SqlLexer.PLUS, SqlLexer.MINUS -> signed(scope);
            case SqlLexer.OPEN_PAREN -> {
                tokens.consume();
                readers.expressions.parenthesized(scope);
            }
            case SqlLexer.OPEN_BRACKET -> {
                tokens.consume();
                readers.expressions.bracketedList(SqlLexer.CLOSE_BRACKET, scope);
            }
            case SqlLexer.OPEN_BRACE -> parameterOrMap(scope);
            case SqlLexer.WORD -> wordOperand(scope);
            case SqlLexer.BACKTICK_NAME, SqlLexer.QUOTED_NAME -> readers.calls.nameOrCall(scope);
            default -> throw cursor.unexpected("an operand");
        }
    }

    /** Parses a signed operand; a sign before a number is part of the literal. */
    private void signed(Scope scope) {
        Token sign = tokens.consume();
        if (cursor.at(SqlLexer.NUMBER)) {
            sign.role = Role.DROPPED;
        }
        operand(scope);
    }

    /** Parses a parameter {@code {name:Type}}, or a map. */
    private void parameterOrMap(Scope scope) {
        tokens.consume();
        Token second = tokens.peek(1);
        if (Token.isName(tokens.peek()) && second != null && second.type == SqlLexer.COLON) {
            cursor.expectName("a parameter name");
            tokens.consume();
            readers.types.type();
            cursor.expect(SqlLexer.CLOSE_BRACE, "the closing brace of a parameter");
            return;
        }
        cursor.enter();
        while (!cursor.at(SqlLexer.CLOSE_BRACE)) {
            readers.expressions.expression(scope);
            if (cursor.at(SqlLexer.COLON) || cursor.at(SqlLexer.COMMA)) {
                tokens.consume();
            }
        }
        tokens.consume();
        cursor.exit();
    }

    private void wordOperand(Scope scope) {
        Token token = tokens.peek();
        Token next = tokens.peek(1);
        boolean call = next != null && next.type == SqlLexer.OPEN_PAREN;
        boolean qualified = next != null && next.type == SqlLexer.DOT;
        String text = token.upper();
        if (text.equals("CASE") && !qualified && !call) {
            caseExpression(scope);
        } else if (text.equals("NOT") && !qualified) {
            cursor.consumeKeyword();
            operand(scope);
        } else if ((text.equals("DISTINCT") || text.equals("ALL")) && !qualified && !isEnd(next)) {
            cursor.consumeKeyword();
            operand(scope);
        } else if (text.equals("INTERVAL")
                && !qualified
                && next != null
                && next.type != SqlLexer.COMMA
                && !isEnd(next)
                && startsInterval(next)) {
            interval(scope);
        } else if ((text.equals("DATE") || text.equals("TIMESTAMP"))
                && next != null
                && (next.type == SqlLexer.STRING || next.type == SqlLexer.QUESTION)) {
            cursor.consumeKeyword();
            tokens.consume().role = Role.LITERAL;
        } else if (Vocabulary.LITERAL_KEYWORDS.contains(text) && !qualified && !call) {
            tokens.consume().role = Role.LITERAL;
        } else if (text.equals("EXISTS") && call) {
            cursor.consumeKeyword();
            tokens.consume();
            readers.expressions.parenthesized(scope);
        } else if (text.equals("SELECT") || text.equals("FROM") && !call && !qualified) {
            throw cursor.unexpected("an operand");
        } else {
            readers.calls.nameOrCall(scope);
        }
    }

    private static boolean isEnd(Token token) {
        return token == null
                || token.type == SqlLexer.CLOSE_PAREN
                || token.type == SqlLexer.COMMA
                || token.type == SqlLexer.OPERATOR;
    }

    private static boolean startsInterval(Token token) {
        return token.type == SqlLexer.NUMBER
                || token.type == SqlLexer.STRING
                || token.type == SqlLexer.OPEN_PAREN
                || token.type == SqlLexer.MINUS
                || token.type == SqlLexer.QUESTION
                || Token.isName(token)
                        && !Vocabulary.EXPRESSION_TERMINATORS.contains(token.upper());
    }

    private void interval(Scope scope) {
        cursor.consumeKeyword();
        boolean quotedAmount = cursor.at(SqlLexer.STRING) || cursor.at(SqlLexer.QUESTION);
        operand(scope);
        while (!atUnit() && readers.operators.tryOperator(scope)) {
            // the amount of the interval may be an expression
        }
        if (atUnit()) {
            cursor.consumeKeyword();
        } else if (!quotedAmount) {
            throw cursor.unexpected("an interval unit");
        }
    }

    private boolean atUnit() {
        Token token = tokens.peek();
        return token != null && Vocabulary.INTERVAL_UNITS.contains(token.upper());
    }

    private void caseExpression(Scope scope) {
        cursor.consumeKeyword();
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
