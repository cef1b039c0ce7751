package ashlink.config;

import ashlink.config.grammar.SExprLexer;
import ashlink.config.grammar.SExprParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Parses the S-expressions of a settings file into nodes. */
final class SExprReader {

    /** Maximum nesting depth of lists, because the parser is recursive. */
    private static final int MAX_DEPTH = 32;

    private static final long MAX_FILE_BYTES = 4 * Units.MIB_BYTES;

    private final String file;
    private final List<ConfigProblem> problems;

    private SExprReader(String file, List<ConfigProblem> problems) {
        this.file = file;
        this.problems = problems;
    }

    /**
     * Parses a file. If the file cannot be read or has syntax errors, adds them to {@code problems}
     * and returns an empty list.
     */
    static List<Node> read(Path path, List<ConfigProblem> problems) {
        SExprReader reader = new SExprReader(path.toString(), problems);
        try {
            if (Files.size(path) > MAX_FILE_BYTES) {
                reader.addProblem(
                        1,
                        1,
                        "invalid file size " + Files.size(path) + " bytes",
                        "at most " + MAX_FILE_BYTES + " bytes");
                return List.of();
            }
            return reader.read(Files.readString(path));
        } catch (IOException e) {
            reader.addProblem(1, 1, "cannot read the file: " + e, "a readable file in UTF-8");
            return List.of();
        }
    }

    /** Parses a text, which error messages call {@code file}; otherwise like the other method. */
    static List<Node> read(String file, String text, List<ConfigProblem> problems) {
        return new SExprReader(file, problems).read(text);
    }

    private List<Node> read(String text) {
        BaseErrorListener errors = new SyntaxErrorListener();
        SExprLexer lexer = new SExprLexer(CharStreams.fromString(text));
        lexer.removeErrorListeners();
        lexer.addErrorListener(errors);
        CommonTokenStream tokens = new CommonTokenStream(lexer);
        tokens.fill();
        if (!checkDepth(tokens)) {
            return List.of();
        }
        SExprParser parser = new SExprParser(tokens);
        parser.removeErrorListeners();
        parser.addErrorListener(errors);
        int problemsBefore = problems.size();
        List<SExprParser.FormContext> forms = parser.file().form();
        return problems.size() > problemsBefore ? List.of() : nodes(forms);
    }

    private boolean checkDepth(CommonTokenStream tokens) {
        int depth = 0;
        for (Token token : tokens.getTokens()) {
            if (token.getType() == SExprLexer.OPEN) {
                depth++;
            } else if (token.getType() == SExprLexer.CLOSE) {
                depth--;
            }
            if (depth > MAX_DEPTH) {
                addProblem(
                        token.getLine(),
                        column(token),
                        "invalid nesting depth " + depth,
                        "at most " + MAX_DEPTH + " nested lists");
                return false;
            }
        }
        return true;
    }

    private void addProblem(int line, int column, String value, String accepted) {
        problems.add(new ConfigProblem(file, line, column, "", value, accepted));
    }

    /** Returns the column counted from 1; the parser counts columns from 0. */
    private static int column(Token token) {
        return token.getCharPositionInLine() + 1;
    }

    /** Adds the errors of the lexer and the parser to the problems of the file. */
    private final class SyntaxErrorListener extends BaseErrorListener {

        @Override
        public void syntaxError(
                Recognizer<?, ?> recognizer,
                Object symbol,
                int line,
                int column,
                String message,
                RecognitionException failure) {
            addProblem(
                    line,
                    column + 1,
                    "syntax error: " + message,
                    "words, quoted strings, and lists in balanced parentheses");
        }
    }

    private static List<Node> nodes(List<SExprParser.FormContext> forms) {
        return forms.stream().map(SExprReader::node).toList();
    }

    private static Node node(SExprParser.FormContext form) {
        Token start = form.getStart();
        if (form.OPEN() != null) {
            return new Node.Form(nodes(form.form()), start.getLine(), column(start));
        }
        String text = form.STRING() == null ? start.getText() : unquote(start.getText());
        return new Node.Atom(text, start.getLine(), column(start));
    }

    private static String unquote(String quoted) {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i < quoted.length() - 1; i++) {
            char character = quoted.charAt(i);
            if (character == '\\') {
                i++;
                character = unescape(quoted.charAt(i));
            }
            text.append(character);
        }
        return text.toString();
    }

    private static char unescape(char escaped) {
        return switch (escaped) {
            case 'n' -> '\n';
            case 't' -> '\t';
            default -> escaped;
        };
    }
}
