package ashlink.sql;

import ashlink.sql.Token.Role;
import ashlink.sql.grammar.SqlLexer;

/** Parses the types of casts and parameters. */
final class TypeReader {

    private final TokenCursor cursor;
    private final Tokens tokens;

    TypeReader(Readers readers) {
        this.cursor = readers.cursor;
        this.tokens = readers.tokens;
    }

    /** Parses a type with its arguments. */
    void type() {
        cursor.enter();
        cursor.expectName("a type name");
        if (cursor.at(SqlLexer.OPEN_PAREN)) {
            tokens.consume();
            while (!cursor.at(SqlLexer.CLOSE_PAREN)) {
                Token token = tokens.peek();
                if (token != null
                        && (token.type == SqlLexer.NUMBER
                                || token.type == SqlLexer.STRING
                                || token.type == SqlLexer.OPERATOR
                                || token.type == SqlLexer.COMMA
                                || token.type == SqlLexer.MINUS)) {
                    // Numbers and strings within a type belong to the type and are not literals.
                    tokens.consume().role = Role.SYMBOL;
                } else {
                    type();
                }
            }
            tokens.consume();
        } else if (Token.isName(tokens.peek())
                && !Vocabulary.EXPRESSION_TERMINATORS.contains(tokens.peek().upper())
                && cursor.isNested()
                && !cursor.at(SqlLexer.CLOSE_PAREN)) {
            // The first word was the name of a tuple element.
            type();
        }
        cursor.exit();
    }
}
