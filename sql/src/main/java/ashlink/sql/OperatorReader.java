package ashlink.sql;

import ashlink.sql.Token.Role;
import ashlink.sql.grammar.SqlLexer;
import java.util.List;

/** Parses what may follow an operand: operators, name parts, aliases and column modifiers. */
final class OperatorReader {

    private final Readers readers;
    private final TokenCursor cursor;
    private final Tokens tokens;

    OperatorReader(Readers readers) {
        this.readers = readers;
        this.cursor = readers.cursor;
        this.tokens = readers.tokens;
    }

    /**
     * Parses an operator, a name part, an alias or a column modifier if one follows.
     *
     * @return false, with no token consumed, if the expression ends here
     */
    boolean tryOperator(Scope scope) {
        if (tokens.peek() == null) {
            return false;
        }
        cursor.enter();
        boolean more = operator(tokens.peek(), scope);
        cursor.exit();
        return more;
    }

    private boolean operator(Token token, Scope scope) {
        switch (token.type) {
            case SqlLexer.WORD -> {
                return keywordOperator(scope, token);
            }
            case SqlLexer.BACKTICK_NAME, SqlLexer.QUOTED_NAME -> {
                return tryAlias();
            }
            case SqlLexer.NUMBER -> {
                return tryTupleElement(token);
            }
            case SqlLexer.OPERATOR,
                    SqlLexer.PLUS,
                    SqlLexer.MINUS,
                    SqlLexer.STAR,
                    SqlLexer.ARROW -> {
                tokens.consume();
                readers.operands.operand(scope);
            }
            case SqlLexer.QUESTION, SqlLexer.QUESTION_PLUS -> conditional(scope);
            case SqlLexer.DOUBLE_COLON -> {
                tokens.consume();
                readers.types.type();
            }
            case SqlLexer.DOT -> namePart();
            case SqlLexer.OPEN_BRACKET -> {
                tokens.consume();
                readers.expressions.bracketedList(SqlLexer.CLOSE_BRACKET, scope);
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Parses {@code ? value : other} after a condition. */
    private void conditional(Scope scope) {
        tokens.consume();
        readers.expressions.expression(scope);
        cursor.expect(SqlLexer.COLON, "a colon before the second branch");
        readers.expressions.expression(scope);
    }

    /** Parses a tuple element such as {@code .1}, which the lexer recognizes as a number. */
    private boolean tryTupleElement(Token token) {
        if (token.text.charAt(0) != '.') {
            return false;
        }
        tokens.consume();
        return true;
    }

    /** Parses an alias without AS if the previous operand is complete. */
    private boolean tryAlias() {
        if (!endsOperand(tokens.last())) {
            return false;
        }
        alias();
        return true;
    }

    private void alias() {
        cursor.expectName("an alias");
        tokens.last().role = Role.ALIAS;
    }

    private void namePart() {
        tokens.consume();
        if (cursor.at(SqlLexer.NUMBER) || cursor.at(SqlLexer.STAR)) {
            tokens.consume();
        } else {
            cursor.expectName("a name part");
        }
    }

    private boolean keywordOperator(Scope scope, Token token) {
        String text = token.upper();
        Token next = tokens.peek(1);
        switch (text) {
            case "AND", "OR", "XOR", "DIV", "MOD", "LIKE", "ILIKE", "REGEXP", "COLLATE" -> {
                cursor.consumeKeyword();
                readers.operands.operand(scope);
            }
            case "BETWEEN" -> between(scope);
            case "NOT" -> negation();
            case "GLOBAL" -> {
                if (next == null || !next.is("IN") && !next.is("NOT")) {
                    return false;
                }
                cursor.consumeKeyword();
            }
            case "IN" -> in(scope);
            case "IS" -> is(scope);
            case "AS" -> {
                cursor.consumeKeyword();
                alias();
            }
            case "OVER" -> readers.windows.over(scope);
            case "FILTER" -> filter(scope);
            case "IGNORE", "RESPECT" -> {
                cursor.consumeKeyword();
                cursor.expectKeyword("NULLS");
            }
            case "EXCEPT", "REPLACE", "APPLY" -> {
                return tryColumnModifier(scope, next);
            }
            default -> {
                return !Vocabulary.EXPRESSION_TERMINATORS.contains(text) && tryAlias();
            }
        }
        return true;
    }

    private void between(Scope scope) {
        cursor.consumeKeyword();
        readers.operands.operand(scope);
        while (!cursor.atKeyword("AND") && tryOperator(scope)) {
            // continues to the AND keyword of this BETWEEN
        }
        cursor.expectKeyword("AND");
        readers.operands.operand(scope);
    }

    private void negation() {
        cursor.consumeKeyword();
        if (!cursor.atKeyword("IN")
                && !cursor.atKeyword("LIKE")
                && !cursor.atKeyword("ILIKE")
                && !cursor.atKeyword("BETWEEN")
                && !cursor.atKeyword("REGEXP")) {
            throw cursor.unexpected("an operator");
        }
    }

    private void filter(Scope scope) {
        cursor.consumeKeyword();
        cursor.expect(SqlLexer.OPEN_PAREN, "an opening parenthesis before a condition");
        cursor.expectKeyword("WHERE");
        readers.expressions.bracketedList(SqlLexer.CLOSE_PAREN, scope);
    }

    private static boolean endsOperand(Token last) {
        return last.role == Role.NAME
                || last.role == Role.LITERAL
                || last.type == SqlLexer.CLOSE_PAREN
                || last.type == SqlLexer.CLOSE_BRACKET
                || last.type == SqlLexer.STAR
                || last.type == SqlLexer.CLOSE_BRACE
                || last.is("END")
                || last.type == SqlLexer.NUMBER
                || Vocabulary.INTERVAL_UNITS.contains(last.upper());
    }

    /**
     * Parses a column modifier: {@code * EXCEPT (...)}, {@code REPLACE (...)}, {@code APPLY (...)}.
     * EXCEPT before a query is the set operation and no column modifier.
     */
    private boolean tryColumnModifier(Scope scope, Token next) {
        if (next == null
                || next.is("SELECT")
                || next.is("WITH")
                || next.is("DISTINCT")
                || next.is("ALL")) {
            return false;
        }
        if (next.type == SqlLexer.OPEN_PAREN) {
            Token inner = tokens.peek(2);
            if (inner != null
                    && (inner.is("SELECT")
                            || inner.is("WITH")
                            || inner.type == SqlLexer.OPEN_PAREN)) {
                return false;
            }
            cursor.consumeKeyword();
            tokens.consume();
            readers.expressions.bracketedList(SqlLexer.CLOSE_PAREN, scope);
        } else {
            cursor.consumeKeyword();
            readers.operands.operand(scope);
        }
        return true;
    }

    /** Parses IN and the right-hand side: a list, a query or a table name. */
    private void in(Scope scope) {
        cursor.consumeKeyword();
        Token next = tokens.peek();
        if (next != null && next.type == SqlLexer.OPEN_PAREN) {
            int from = tokens.position();
            tokens.consume();
            readers.expressions.parenthesized(scope);
            collapseLiterals(from);
        } else if (Token.isName(next)
                && (tokens.peek(1) == null || tokens.peek(1).type != SqlLexer.OPEN_PAREN)
                && !Vocabulary.LITERAL_KEYWORDS.contains(next.upper())) {
            readers.tables.table(scope);
        } else {
            readers.operands.operand(scope);
        }
    }

    /**
     * Normalizes lists of literals to the same text for any length: drops all tokens since position
     * {@code from} except the parentheses and the first literal. A list with any other token is
     * unchanged.
     */
    private void collapseLiterals(int from) {
        List<Token> list = tokens.consumed().subList(from, tokens.position());
        for (Token token : list) {
            boolean inLiteralList =
                    token.role == Role.LITERAL
                            || token.role == Role.DROPPED
                            || token.type == SqlLexer.COMMA
                            || token.type == SqlLexer.OPEN_PAREN
                            || token.type == SqlLexer.CLOSE_PAREN;
            if (!inLiteralList) {
                return;
            }
        }
        boolean first = true;
        for (Token token : list.subList(1, list.size() - 1)) {
            if (token.role == Role.LITERAL && first) {
                first = false;
            } else {
                token.role = Role.DROPPED;
            }
        }
    }

    private void is(Scope scope) {
        cursor.consumeKeyword();
        cursor.tryKeyword("NOT");
        if (cursor.tryKeyword("DISTINCT")) {
            cursor.expectKeyword("FROM");
            readers.operands.operand(scope);
        } else {
            cursor.expectKeyword("NULL");
        }
    }
}
