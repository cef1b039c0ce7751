package ashlink.config;

import ashlink.config.grammar.SExprLexer;
import ashlink.config.grammar.SExprParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Reads the text of a settings file into nodes. */
final class SExprReader {

    /** Lists within lists; deeper is no setting of ours, and the parser recurses. */
    private static final int DEEPEST = 32;

    private static final long MOST_BYTES = 4 << 20;

    private final String file;
    private final List<ConfigProblem> problems;

    private SExprReader(String file, List<ConfigProblem> problems) {
        this.file = file;
        this.problems = problems;
    }

    /** Reads a file; what is wrong with its form is added to {@code problems}. */
    static List<Node> read(Path path, List<ConfigProblem> problems) {
        try {
            if (Files.size(path) > MOST_BYTES) {
                problems.add(
                        new ConfigProblem(
                                path.toString(),
                                1,
                                1,
                                "",
                                "a file of " + Files.size(path) + " bytes",
                                "up to " + MOST_BYTES + " bytes"));
                return List.of();
            }
            return read(path.toString(), Files.readString(path), problems);
        } catch (IOException e) {
            problems.add(
                    new ConfigProblem(
                            path.toString(),
                            1,
                            1,
                            "",
                            e.toString(),
                            "a file that can be read as UTF-8"));
            return List.of();
        }
    }

    /** Reads a text that came from that file. */
    static List<Node> read(String file, String text, List<ConfigProblem> problems) {
        return new SExprReader(file, problems).read(text);
    }

    private List<Node> read(String text) {
        BaseErrorListener listener =
                new BaseErrorListener() {
                    @Override
                    public void syntaxError(
                            Recognizer<?, ?> recognizer,
                            Object symbol,
                            int line,
                            int column,
                            String message,
                            RecognitionException failure) {
                        problems.add(
                                new ConfigProblem(
                                        file,
                                        line,
                                        column + 1,
                                        "",
                                        message,
                                        "words, texts in quotes, and lists in "
                                                + "parentheses that are closed"));
                    }
                };
        SExprLexer lexer = new SExprLexer(CharStreams.fromString(text));
        lexer.removeErrorListeners();
        lexer.addErrorListener(listener);
        CommonTokenStream tokens = new CommonTokenStream(lexer);
        tokens.fill();
        int depth = 0;
        for (Token token : tokens.getTokens()) {
            depth +=
                    token.getType() == SExprLexer.OPEN
                            ? 1
                            : token.getType() == SExprLexer.CLOSE ? -1 : 0;
            if (depth > DEEPEST) {
                problems.add(
                        new ConfigProblem(
                                file,
                                token.getLine(),
                                token.getCharPositionInLine() + 1,
                                "",
                                "a list this deep",
                                "up to " + DEEPEST + " lists within each other"));
                return List.of();
            }
        }
        SExprParser parser = new SExprParser(tokens);
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        int before = problems.size();
        List<SExprParser.FormContext> forms = parser.file().form();
        return problems.size() > before ? List.of() : nodes(forms);
    }

    private static List<Node> nodes(List<SExprParser.FormContext> forms) {
        List<Node> nodes = new ArrayList<>();
        for (SExprParser.FormContext formContext : forms) {
            Token at = formContext.getStart();
            int column = at.getCharPositionInLine() + 1;
            if (formContext.OPEN() != null) {
                nodes.add(new Node.Form(nodes(formContext.form()), at.getLine(), column));
            } else {
                nodes.add(
                        new Node.Atom(
                                formContext.TEXT() != null ? unquoted(at.getText()) : at.getText(),
                                at.getLine(),
                                column));
            }
        }
        return nodes;
    }

    private static String unquoted(String text) {
        StringBuilder plain = new StringBuilder();
        for (int i = 1; i < text.length() - 1; i++) {
            char c = text.charAt(i);
            if (c == '\\') {
                c = text.charAt(++i);
                c = c == 'n' ? '\n' : c == 't' ? '\t' : c;
            }
            plain.append(c);
        }
        return plain.toString();
    }
}
