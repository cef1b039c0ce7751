package ashlink.sql;

import ashlink.sql.Token.Role;
import ashlink.sql.grammar.SqlLexer;

/**
 * Reads expressions just so far that every token is known for an operand or an operator, and every
 * subquery is found. An expression ends, where an operand is complete, at a word that starts
 * another clause, or at a bracket or comma that is not its own.
 */
final class ExpressionReader {

    /** Steps within each other, some three a bracket; a thread's small stack bears more. */
    static final int DEEPEST = 240;

    private final Tokens tokens;
    private final AnalysisBuilder found;
    private final QueryReader queries;
    private int depth;

    ExpressionReader(Tokens tokens, AnalysisBuilder found, QueryReader queries) {
        this.tokens = tokens;
        this.found = found;
        this.queries = queries;
    }

    // ---- Small steps
    boolean at(int type) {
        Token token = tokens.peek();
        return token != null && token.type == type;
    }

    boolean atWord(String word) {
        Token token = tokens.peek();
        return token != null && token.is(word);
    }

    boolean atWords(String first, String second) {
        Token token = tokens.peek(1);
        return atWord(first) && token != null && token.is(second);
    }

    Token keyword() {
        Token token = tokens.take();
        token.role = Role.KEYWORD;
        return token;
    }

    boolean tryWord(String word) {
        if (atWord(word)) {
            keyword();
            return true;
        }
        return false;
    }

    void needWord(String word) {
        if (!tryWord(word)) {
            throw unexpected(word);
        }
    }

    void need(int type, String what) {
        if (!at(type)) {
            throw unexpected(what);
        }
        tokens.take();
    }

    UnsupportedSyntaxException unexpected(String wanted) {
        Token token = tokens.peek();
        String there =
                token == null
                        ? "the end"
                        : token.type == SqlLexer.STRING || token.type == SqlLexer.NUMBER
                                ? "a literal"
                                : token.type == SqlLexer.WORD
                                        ? "a word"
                                        : "'"
                                                + token.text
                                                + "'"; // no name or value of a statement is told
        return new UnsupportedSyntaxException(
                there + " where " + wanted + " was expected", tokens.at());
    }

    void deeper() {
        if (++depth > DEEPEST) {
            throw new UnsupportedSyntaxException(
                    "brackets or operators too deep within each other", tokens.at());
        }
    }

    void shallower() {
        depth--;
    }

    /** Takes a number, or the mark that stands for one. */
    void number(String what) {
        if (!at(SqlLexer.NUMBER) && !at(SqlLexer.QUESTION)) {
            throw unexpected(what);
        }
        tokens.take().role = Role.LITERAL;
    }

    /** Takes a quoted text, or the mark that stands for one. */
    void literal(String what) {
        if (!at(SqlLexer.STRING) && !at(SqlLexer.QUESTION)) {
            throw unexpected(what);
        }
        tokens.take().role = Role.LITERAL;
    }

    static boolean isName(Token token) {
        return token != null
                && (token.type == SqlLexer.WORD
                        || token.type == SqlLexer.BACKTICKED
                        || token.type == SqlLexer.QUOTED);
    }

    /** Takes a name, quoted or not, and returns it without quotes. */
    String name(String what) {
        Token token = tokens.peek();
        if (!isName(token)) {
            throw unexpected(what);
        }
        tokens.take();
        token.role = Role.NAME;
        return plain(token);
    }

    static String plain(Token token) {
        if (token.type == SqlLexer.WORD) {
            return token.text;
        }
        char quote = token.text.charAt(0);
        StringBuilder plain = new StringBuilder();
        for (int i = 1; i < token.text.length() - 1; i++) {
            char c = token.text.charAt(i);
            if (c == '\\' || c == quote) {
                c = token.text.charAt(++i);
            }
            plain.append(c);
        }
        return plain.toString();
    }

    // ---- Lists
    /** Expressions with commas between them; a comma before the end is let pass. */
    void list(Scope scope) {
        expression(scope);
        while (at(SqlLexer.COMMA)) {
            tokens.take();
            if (atWord("FROM")) {
                return;
            }
            expression(scope);
        }
    }

    /** What stands in brackets up to their end, which is taken; it may be nothing. */
    private void bracketed(int close, Scope scope) {
        deeper();
        if (!at(close)) {
            list(scope);
        }
        need(close, "the end of a bracket");
        shallower();
    }

    /**
     * A bracket that was opened: a query, or a list; where another bracket follows it may yet be
     * either.
     */
    void parenthesis(Scope scope) {
        if (queries.startsQuery()) {
            deeper();
            if (at(SqlLexer.OPEN)) {
                list(scope);
                queries.rest(scope);
            } else {
                queries.union(scope);
            }
            need(SqlLexer.CLOSE, "the end of a query in brackets");
            shallower();
        } else {
            bracketed(SqlLexer.CLOSE, scope);
        }
    }

    // ---- Expressions
    /** One expression. */
    void expression(Scope scope) {
        deeper();
        operand(scope);
        while (goOn(scope)) {
            // as far as operators lead
        }
        shallower();
    }

    private void operand(Scope scope) {
        if (tokens.peek() == null) {
            throw unexpected("an operand");
        }
        deeper();
        anyOperand(tokens.peek(), scope);
        shallower();
    }

    private void anyOperand(Token token, Scope scope) {
        switch (token.type) {
            case SqlLexer.NUMBER, SqlLexer.STRING, SqlLexer.QUESTION, SqlLexer.MANY ->
                    tokens.take().role = Role.LITERAL;
            case SqlLexer.STAR -> tokens.take();
            case SqlLexer.PLUS, SqlLexer.MINUS -> signed(scope);
            case SqlLexer.OPEN -> {
                tokens.take();
                parenthesis(scope);
            }
            case SqlLexer.OPEN_SQUARE -> {
                tokens.take();
                bracketed(SqlLexer.CLOSE_SQUARE, scope);
            }
            case SqlLexer.OPEN_CURLY -> curly(scope);
            case SqlLexer.WORD -> word(scope);
            case SqlLexer.BACKTICKED, SqlLexer.QUOTED -> named(scope);
            default -> throw unexpected("an operand");
        }
    }

    /** A sign before a number is part of the literal. */
    private void signed(Scope scope) {
        Token sign = tokens.take();
        if (at(SqlLexer.NUMBER)) {
            sign.role = Role.DROPPED;
        }
        operand(scope);
    }

    /** A parameter {@code {name:Type}}, or a map of literals. */
    private void curly(Scope scope) {
        tokens.take();
        Token second = tokens.peek(1);
        if (isName(tokens.peek()) && second != null && second.type == SqlLexer.COLON) {
            name("a parameter");
            tokens.take();
            type();
            need(SqlLexer.CLOSE_CURLY, "the end of a parameter");
            return;
        }
        deeper();
        while (!at(SqlLexer.CLOSE_CURLY)) {
            expression(scope);
            if (at(SqlLexer.COLON) || at(SqlLexer.COMMA)) {
                tokens.take();
            }
        }
        tokens.take();
        shallower();
    }

    private void word(Scope scope) {
        Token token = tokens.peek();
        Token next = tokens.peek(1);
        boolean call = next != null && next.type == SqlLexer.OPEN;
        boolean part = next != null && next.type == SqlLexer.DOT;
        String text = token.upper();
        if (text.equals("CASE") && !part && !call) {
            caseOf(scope);
        } else if (text.equals("NOT") && !part) {
            keyword();
            operand(scope);
        } else if ((text.equals("DISTINCT") || text.equals("ALL")) && !part && !isEnd(next)) {
            keyword();
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
            keyword();
            tokens.take().role = Role.LITERAL;
        } else if (Vocabulary.LITERALS.contains(text) && !part && !call) {
            tokens.take().role = Role.LITERAL;
        } else if (text.equals("EXISTS") && call) {
            keyword();
            tokens.take();
            parenthesis(scope);
        } else if (text.equals("SELECT") || text.equals("FROM") && !call && !part) {
            throw unexpected("an operand");
        } else {
            named(scope);
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
                || isName(token) && !Vocabulary.CLAUSES.contains(token.upper());
    }

    private void interval(Scope scope) {
        keyword();
        boolean text = at(SqlLexer.STRING) || at(SqlLexer.QUESTION);
        operand(scope);
        while (!isUnit() && goOn(scope)) {
            // the amount may be an expression
        }
        if (isUnit()) {
            keyword();
        } else if (!text) {
            throw unexpected("a unit of an interval");
        }
    }

    private boolean isUnit() {
        Token token = tokens.peek();
        return token != null && Vocabulary.UNITS.contains(token.upper());
    }

    /** A name with parts, or a call. */
    private void named(Scope scope) {
        String name = name("a name");
        if (!at(SqlLexer.OPEN)) {
            return;
        }
        found.function(name);
        if (name.equalsIgnoreCase("CAST") || name.equalsIgnoreCase("TRY_CAST")) {
            castCall(scope);
        } else if (name.equalsIgnoreCase("EXTRACT") && Vocabulary.UNITS.contains(upperAfter())) {
            tokens.take();
            keyword();
            needWord("FROM");
            bracketed(SqlLexer.CLOSE, scope);
        } else if (name.equalsIgnoreCase("SUBSTRING")
                || name.equalsIgnoreCase("TRIM")
                || name.equalsIgnoreCase("POSITION")) {
            wordyCall(scope);
        } else {
            tokens.take();
            parenthesis(scope);
            if (at(SqlLexer.OPEN)) { // parameters came first
                tokens.take();
                parenthesis(scope);
            }
        }
    }

    private String upperAfter() {
        Token token = tokens.peek(1);
        return token == null ? "" : token.upper();
    }

    private void castCall(Scope scope) {
        tokens.take();
        deeper();
        operand(scope);
        while (!atWord("AS") && goOn(scope)) {
            // the value
        }
        if (tryWord("AS")) {
            type();
        } else {
            need(SqlLexer.COMMA, "the type of a cast");
            expression(scope);
        }
        need(SqlLexer.CLOSE, "the end of a cast");
        shallower();
    }

    /** Calls with words between their arguments. */
    private void wordyCall(Scope scope) {
        tokens.take();
        deeper();
        for (String text : new String[] {"BOTH", "LEADING", "TRAILING"}) {
            tryWord(text);
        }
        if (!atWord("FROM")) {
            expression(scope);
        }
        while (!at(SqlLexer.CLOSE)) {
            if (!tryWord("FROM") && !tryWord("FOR")) {
                need(SqlLexer.COMMA, "another argument");
            }
            expression(scope);
        }
        tokens.take();
        shallower();
    }

    private void caseOf(Scope scope) {
        keyword();
        deeper();
        if (!atWord("WHEN")) {
            expression(scope);
        }
        while (tryWord("WHEN")) {
            expression(scope);
            needWord("THEN");
            expression(scope);
        }
        if (tryWord("ELSE")) {
            expression(scope);
        }
        needWord("END");
        shallower();
    }

    /** A type, as in a cast. */
    void type() {
        deeper();
        name("a type");
        if (at(SqlLexer.OPEN)) {
            tokens.take();
            while (!at(SqlLexer.CLOSE)) {
                Token token = tokens.peek();
                if (token != null
                        && (token.type == SqlLexer.NUMBER
                                || token.type == SqlLexer.STRING
                                || token.type == SqlLexer.OPERATOR
                                || token.type == SqlLexer.COMMA
                                || token.type == SqlLexer.MINUS)) {
                    tokens.take().role = Role.SYMBOL; // a type's numbers are its shape
                } else {
                    type();
                }
            }
            tokens.take();
        } else if (isName(tokens.peek())
                && !Vocabulary.CLAUSES.contains(tokens.peek().upper())
                && depth > 1
                && !at(SqlLexer.CLOSE)) {
            type(); // the name of an element came first
        }
        shallower();
    }

    // ---- After an operand
    /**
     * Reads on where an operator, a part, an alias or the like follows; false where the expression
     * ends.
     */
    private boolean goOn(Scope scope) {
        if (tokens.peek() == null) {
            return false;
        }
        deeper();
        boolean more = after(tokens.peek(), scope);
        shallower();
        return more;
    }

    private boolean after(Token token, Scope scope) {
        switch (token.type) {
            case SqlLexer.OPERATOR,
                    SqlLexer.PLUS,
                    SqlLexer.MINUS,
                    SqlLexer.STAR,
                    SqlLexer.ARROW -> {
                tokens.take();
                operand(scope);
            }
            case SqlLexer.QUESTION, SqlLexer.MANY -> {
                tokens.take();
                expression(scope);
                need(SqlLexer.COLON, "the other branch");
                expression(scope);
            }
            case SqlLexer.CAST -> {
                tokens.take();
                type();
            }
            case SqlLexer.DOT -> part(scope);
            case SqlLexer.NUMBER -> {
                if (token.text.charAt(0) != '.') {
                    return false;
                }
                tokens.take(); // an element of a tuple
            }
            case SqlLexer.OPEN_SQUARE -> {
                tokens.take();
                bracketed(SqlLexer.CLOSE_SQUARE, scope);
            }
            case SqlLexer.WORD -> {
                return wordAfter(scope, token);
            }
            case SqlLexer.BACKTICKED, SqlLexer.QUOTED -> {
                return alias();
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    /** A name after an operand, once. */
    boolean alias() {
        if (!isOperand(tokens.last())) {
            return false;
        }
        name("an alias");
        tokens.last().role = Role.ALIAS;
        return true;
    }

    private void part(Scope scope) {
        tokens.take();
        if (at(SqlLexer.NUMBER) || at(SqlLexer.STAR)) {
            tokens.take();
        } else {
            name("a part of a name");
        }
    }

    private boolean wordAfter(Scope scope, Token token) {
        String text = token.upper();
        Token next = tokens.peek(1);
        switch (text) {
            case "AND", "OR", "XOR", "DIV", "MOD", "LIKE", "ILIKE", "REGEXP" -> {
                keyword();
                operand(scope);
            }
            case "BETWEEN" -> {
                keyword();
                operand(scope);
                while (!atWord("AND") && goOn(scope)) {
                    // up to its own AND
                }
                needWord("AND");
                operand(scope);
            }
            case "NOT" -> {
                keyword();
                if (!atWord("IN")
                        && !atWord("LIKE")
                        && !atWord("ILIKE")
                        && !atWord("BETWEEN")
                        && !atWord("REGEXP")) {
                    throw unexpected("an operator");
                }
            }
            case "GLOBAL" -> {
                if (next == null || !next.is("IN") && !next.is("NOT")) {
                    return false;
                }
                keyword();
            }
            case "IN" -> in(scope);
            case "IS" -> is(scope);
            case "AS" -> {
                keyword();
                name("an alias");
                tokens.last().role = Role.ALIAS;
            }
            case "OVER" -> over(scope);
            case "FILTER" -> {
                keyword();
                need(SqlLexer.OPEN, "a condition in brackets");
                needWord("WHERE");
                bracketed(SqlLexer.CLOSE, scope);
            }
            case "IGNORE", "RESPECT" -> {
                keyword();
                needWord("NULLS");
            }
            case "COLLATE" -> {
                keyword();
                operand(scope);
            }
            case "EXCEPT", "REPLACE", "APPLY" -> {
                return modifier(scope, next);
            }
            default -> {
                return !Vocabulary.CLAUSES.contains(text) && alias();
            }
        }
        return true;
    }

    private static boolean isOperand(Token last) {
        return last.role == Role.NAME
                || last.role == Role.LITERAL
                || last.type == SqlLexer.CLOSE
                || last.type == SqlLexer.CLOSE_SQUARE
                || last.type == SqlLexer.STAR
                || last.type == SqlLexer.CLOSE_CURLY
                || last.is("END")
                || last.type == SqlLexer.NUMBER
                || Vocabulary.UNITS.contains(last.upper());
    }

    /**
     * {@code * EXCEPT (...)}, {@code REPLACE (...)}, {@code APPLY (...)}; a query after EXCEPT is
     * another query.
     */
    private boolean modifier(Scope scope, Token next) {
        if (next == null
                || next.is("SELECT")
                || next.is("WITH")
                || next.is("DISTINCT")
                || next.is("ALL")) {
            return false;
        }
        if (next.type == SqlLexer.OPEN) {
            Token inner = tokens.peek(2);
            if (inner != null
                    && (inner.is("SELECT") || inner.is("WITH") || inner.type == SqlLexer.OPEN)) {
                return false;
            }
            keyword();
            tokens.take();
            bracketed(SqlLexer.CLOSE, scope);
        } else {
            keyword();
            operand(scope);
        }
        return true;
    }

    /** What follows IN: a list, a query, or a table's name. */
    private void in(Scope scope) {
        keyword();
        Token next = tokens.peek();
        if (next != null && next.type == SqlLexer.OPEN) {
            int from = tokens.place();
            tokens.take();
            parenthesis(scope);
            collapse(from);
        } else if (isName(next)
                && (tokens.peek(1) == null || tokens.peek(1).type != SqlLexer.OPEN)
                && !Vocabulary.LITERALS.contains(next.upper())) {
            queries.table(scope);
        } else {
            operand(scope);
        }
    }

    /**
     * Lists of literals of any length are one: of the tokens since {@code from} all but the first
     * literal go.
     */
    private void collapse(int from) {
        var list = tokens.taken().subList(from, tokens.place());
        for (Token token : list) {
            boolean plain =
                    token.role == Role.LITERAL
                            || token.role == Role.DROPPED
                            || token.type == SqlLexer.COMMA
                            || token.type == SqlLexer.OPEN
                            || token.type == SqlLexer.CLOSE;
            if (!plain) {
                return;
            }
        }
        boolean kept = false;
        for (Token token : list.subList(1, list.size() - 1)) {
            if (token.role == Role.LITERAL && !kept) {
                kept = true;
            } else {
                token.role = Role.DROPPED;
            }
        }
    }

    private void is(Scope scope) {
        keyword();
        tryWord("NOT");
        if (tryWord("DISTINCT")) {
            needWord("FROM");
            operand(scope);
        } else {
            needWord("NULL");
        }
    }

    private void over(Scope scope) {
        keyword();
        if (at(SqlLexer.OPEN)) {
            tokens.take();
            window(scope);
        } else {
            name("a window");
        }
    }

    /** A window's definition after its opening bracket. */
    void window(Scope scope) {
        deeper();
        if (isName(tokens.peek())
                && !atWord("PARTITION")
                && !atWord("ORDER")
                && !atWord("ROWS")
                && !atWord("RANGE")) {
            name("a window");
        }
        if (tryWord("PARTITION")) {
            needWord("BY");
            list(scope);
        }
        if (tryWord("ORDER")) {
            needWord("BY");
            queries.orderList(scope);
        }
        if (tryWord("ROWS") || tryWord("RANGE")) {
            while (!at(SqlLexer.CLOSE)) {
                if (isName(tokens.peek())) {
                    keyword();
                } else {
                    operand(scope);
                }
            }
        }
        need(SqlLexer.CLOSE, "the end of a window");
        shallower();
    }
}
