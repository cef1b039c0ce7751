package ashlink.sql;

import ashlink.sql.Token.Role;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Builds the normalized text of a statement, from which the fingerprint is computed: one space
 * between tokens, keywords in upper case, {@code ?} in place of each literal.
 */
final class NormalizedSql {

    private static final int MAX_FALLBACK_TOKENS = 10_000;
    private static final Pattern UNQUOTED_NAME = Pattern.compile("[A-Za-z_][A-Za-z_0-9]*");

    private NormalizedSql() {}

    static String of(List<Token> tokens) {
        StringBuilder text = new StringBuilder();
        for (Token token : tokens) {
            if (token.role != Role.DROPPED) {
                text.append(text.length() == 0 ? "" : " ").append(rendered(token));
            }
        }
        return text.toString();
    }

    private static String rendered(Token token) {
        return switch (token.role) {
            case LITERAL -> "?";
            case KEYWORD -> token.upper();
            case NAME, ALIAS -> quotedIfRequired(Token.unquoted(token));
            default -> token.text;
        };
    }

    /** Returns a name in backticks if the name requires quoting, otherwise unquoted. */
    private static String quotedIfRequired(String name) {
        String upper = name.toUpperCase(Locale.ROOT);
        boolean keyword =
                Vocabulary.EXPRESSION_TERMINATORS.contains(upper)
                        || Vocabulary.LITERAL_KEYWORDS.contains(upper);
        return !keyword && UNQUOTED_NAME.matcher(name).matches()
                ? name
                : "`" + name.replace("\\", "\\\\").replace("`", "\\`") + "`";
    }

    /**
     * Returns the tokens of an unsupported text with {@code ?} in place of literals, up to the
     * first invalid token.
     */
    static String fallback(String text, int maxTokens) {
        StringBuilder fallback = new StringBuilder();
        try {
            Tokens tokens = new Tokens(text, Math.min(maxTokens, MAX_FALLBACK_TOKENS));
            while (tokens.peek() != null) {
                Token token = tokens.consume();
                boolean literal =
                        token.type == ashlink.sql.grammar.SqlLexer.STRING
                                || token.type == ashlink.sql.grammar.SqlLexer.NUMBER;
                fallback.append(' ').append(literal ? "?" : token.text);
            }
        } catch (UnsupportedSyntaxException e) {
            fallback.append(" ...");
        }
        return fallback.toString().strip();
    }

    /**
     * Returns the 128-bit MurmurHash3 of the UTF-8 bytes of the text with seed 0, in hexadecimal.
     */
    static String fingerprint(String normalizedText) {
        long[] hash = MurmurHash3.hash128x64(normalizedText.getBytes(StandardCharsets.UTF_8));
        HexFormat hex = HexFormat.of();
        return hex.toHexDigits(hash[0]) + hex.toHexDigits(hash[1]);
    }
}
