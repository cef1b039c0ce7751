package ashlink.sql;

import ashlink.sql.Token.Role;
import ashlink.sql.grammar.SqlLexer;

/** Reads the types of casts and parameters. */
final class TypeReader {

    private final TokenCursor cursor;
    private final Tokens tokens;

    TypeReader(Readers readers) {
        this.cursor = readers.cursor;
        this.tokens = readers.tokens;
    }

    /** Reads a type with its arguments. */
    void type() {
        cursor.enter();
        cursor.expectName("a type");
        if (cursor.at(SqlLexer.OPEN)) {
            tokens.take();
            while (!cursor.at(SqlLexer.CLOSE)) {
                Token token = tokens.peek();
                if (token != null
                        && (token.type == SqlLexer.NUMBER
                                || token.type == SqlLexer.STRING
                                || token.type == SqlLexer.OPERATOR
                                || token.type == SqlLexer.COMMA
                                || token.type == SqlLexer.MINUS)) {
                    // The numbers of a type are part of it, no literals of the statement.
                    tokens.take().role = Role.SYMBOL;
                } else {
                    type();
                }
            }
            tokens.take();
        } else if (Token.isName(tokens.peek())
                && !Vocabulary.CLAUSES.contains(tokens.peek().upper())
                && cursor.isNested()
                && !cursor.at(SqlLexer.CLOSE)) {
            // The first word was the name of an element.
            type();
        }
        cursor.exit();
    }
}
