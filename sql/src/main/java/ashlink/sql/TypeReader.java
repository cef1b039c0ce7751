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
                    // Numbers and strings within a type belong to the type and are not literals.
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
            // The first word was the name of a tuple element.
            type();
        }
        cursor.exit();
    }
}
