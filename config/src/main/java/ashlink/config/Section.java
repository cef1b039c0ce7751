package ashlink.config;

import ashlink.config.Node.Atom;
import ashlink.config.Node.Form;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * A list of settings, read by name. A value that is not accepted is noted as a problem and read as
 * its default, so that all problems of a file are found at once; {@link #close} notes settings that
 * nobody asked for.
 */
final class Section implements AutoCloseable {

    private static final LevenshteinDistance DISTANCE = new LevenshteinDistance(4);

    private final String file;
    private final String path;
    private final Form form;
    private final List<ConfigProblem> problems;
    private final Map<String, List<Form>> settings = new LinkedHashMap<>();
    private final Set<String> known = new LinkedHashSet<>();
    private final List<Atom> words = new ArrayList<>();

    Section(String file, String path, Form form, int from, List<ConfigProblem> problems) {
        this.file = file;
        this.path = path;
        this.form = form;
        this.problems = problems;
        for (Node node :
                form.items().subList(Math.min(from, form.items().size()), form.items().size())) {
            if (node instanceof Form f && !f.head().isEmpty()) {
                settings.computeIfAbsent(f.head(), text -> new ArrayList<>()).add(f);
            } else if (node instanceof Atom atom) {
                words.add(atom);
            } else {
                problem(node, path, "a list that starts with the name of a setting");
            }
        }
    }

    /** The file's one top list, which must have that name. */
    static Section top(String file, List<Node> nodes, String name, List<ConfigProblem> problems) {
        if (nodes.size() == 1 && nodes.get(0) instanceof Form form && form.head().equals(name)) {
            return new Section(file, name, form, 1, problems);
        }
        if (problems.isEmpty()) {
            problems.add(
                    new ConfigProblem(
                            file, 1, 1, "", "what the file holds", "one list (" + name + " ...)"));
        }
        return new Section(file, name, new Form(List.of(), 1, 1), 0, problems);
    }

    // ---- Problems
    void problem(Node at, String setting, String accepted) {
        problems.add(
                new ConfigProblem(file, at.line(), at.column(), setting, at.shown(), accepted));
    }

    void problem(String name, String accepted) {
        Node at = settings.containsKey(name) ? settings.get(name).get(0) : form;
        Node value =
                at instanceof Form f && at != form && f.items().size() > 1 ? f.items().get(1) : at;
        problem(value, path + "." + name, accepted);
    }

    // ---- Values
    boolean has(String name) {
        known.add(name);
        return settings.containsKey(name);
    }

    /** The one value of a setting, or null where it is absent or wrong. */
    private Atom atom(String name, String accepted) {
        known.add(name);
        List<Form> forms = settings.get(name);
        if (forms == null) {
            return null;
        }
        if (forms.size() > 1) {
            problem(forms.get(1), path + "." + name, "this setting once");
        }
        List<Node> items = forms.get(0).items();
        if (items.size() == 2 && items.get(1) instanceof Atom atom) {
            return atom;
        }
        problem(forms.get(0), path + "." + name, accepted);
        return null;
    }

    private void missing(String name, String accepted) {
        if (!settings.containsKey(name)) {
            problems.add(
                    new ConfigProblem(
                            file,
                            form.line(),
                            form.column(),
                            path + "." + name,
                            "nothing",
                            accepted));
        }
    }

    /** A text; {@code absent} null: it must be given. */
    String text(String name, String absent) {
        Atom a = atom(name, "one word or text");
        if (a == null && absent == null) {
            missing(name, "one word or text");
        }
        return a == null ? absent == null ? "" : absent : a.text();
    }

    boolean flag(String name, boolean absent) {
        Atom a = atom(name, "yes or no");
        if (a != null && !a.text().equals("yes") && !a.text().equals("no")) {
            problem(a, path + "." + name, "yes or no");
        }
        return a == null ? absent : a.text().equals("yes");
    }

    /**
     * A number with a unit of that kind, between the bounds; {@code absent} null: it must be given.
     */
    private double quantity(
            String name,
            Double absent,
            Map<String, Double> units,
            double least,
            double most,
            String accepted) {
        Atom a = atom(name, accepted);
        if (a == null) {
            if (absent == null) {
                missing(name, accepted);
            }
            return absent == null ? least : absent;
        }
        OptionalDouble value = Units.parse(a.text(), units);
        if (value.isEmpty() || value.getAsDouble() < least || value.getAsDouble() > most) {
            problem(a, path + "." + name, accepted);
            return absent == null ? least : absent;
        }
        return value.getAsDouble();
    }

    double number(String name, Double absent, double least, double most) {
        return quantity(
                name,
                absent,
                Map.of("", 1.0),
                least,
                most,
                "a number from " + shown(least) + " to " + shown(most));
    }

    long whole(String name, Long absent, long least, long most) {
        String accepted = "a whole number from " + least + " to " + most;
        double value =
                quantity(
                        name,
                        absent == null ? null : (double) absent,
                        Map.of("", 1.0),
                        least,
                        most,
                        accepted);
        if (value != Math.rint(value)) {
            problem(name, accepted);
        }
        return (long) value;
    }

    /** A duration in nanoseconds. */
    long duration(String name, Long absentNs, long leastNs, long mostNs) {
        return (long)
                quantity(
                        name,
                        absentNs == null ? null : (double) absentNs,
                        Units.DURATION_NS,
                        leastNs,
                        mostNs,
                        "a duration from "
                                + leastNs / 1e9
                                + "s to "
                                + mostNs / 1e9
                                + "s, with ns, us, ms, s, m, h or d");
    }

    /** A size in bytes. */
    long size(String name, Long absent, long least, long most) {
        return (long)
                quantity(
                        name,
                        absent == null ? null : (double) absent,
                        Units.SIZE_BYTES,
                        least,
                        most,
                        "a size from "
                                + least
                                + "B to "
                                + most
                                + "B, with B, KiB, MiB, GiB, kB, MB or GB");
    }

    /** A rate a second. */
    double rate(String name, Double absent, double most) {
        return quantity(
                name,
                absent,
                Units.RATE_PER_S,
                0,
                most,
                "a rate up to " + shown(most) + "/s, with /s, /m or /h");
    }

    /** An address and port; port 0 is any free one. */
    InetSocketAddress address(String name, InetSocketAddress absent) {
        String accepted = "host:port with a port from 0 to 65535";
        Atom a = atom(name, accepted);
        if (a == null) {
            if (absent == null) {
                missing(name, accepted);
            }
            return absent;
        }
        int colon = a.text().lastIndexOf(':');
        try {
            int port = Integer.parseInt(a.text().substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= 65535) {
                return new InetSocketAddress(
                        a.text().substring(0, colon).replaceAll("^\\[|]$", ""), port);
            }
        } catch (NumberFormatException e) {
            // said below
        }
        problem(a, path + "." + name, accepted);
        return absent;
    }

    <E extends Enum<E>> E choice(String name, E absent, Class<E> type) {
        String accepted =
                "one of "
                        + String.join(
                                ", ",
                                java.util.Arrays.stream(type.getEnumConstants())
                                        .map(Section::word)
                                        .toList());
        Atom a = atom(name, accepted);
        if (a == null) {
            if (absent == null) {
                missing(name, accepted);
            }
            return absent == null ? type.getEnumConstants()[0] : absent;
        }
        for (E e : type.getEnumConstants()) {
            if (word(e).equals(a.text())) {
                return e;
            }
        }
        problem(a, path + "." + name, accepted);
        return absent == null ? type.getEnumConstants()[0] : absent;
    }

    private static String word(Enum<?> e) {
        return e.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    /** All words of a setting, which may be absent. */
    Set<String> words(String name) {
        known.add(name);
        Set<String> words = new LinkedHashSet<>();
        for (Form form : settings.getOrDefault(name, List.of())) {
            for (Node node : form.items().subList(1, form.items().size())) {
                if (node instanceof Atom atom) {
                    words.add(atom.text());
                } else {
                    problem(node, path + "." + name, "words");
                }
            }
        }
        return words;
    }

    // ---- Sections
    /** A section that may stand once; empty where it is absent. */
    Section section(String name) {
        known.add(name);
        List<Form> forms = settings.get(name);
        if (forms != null && forms.size() > 1) {
            problem(forms.get(1), path + "." + name, "this section once");
        }
        Form f = forms == null ? new Form(List.of(), form.line(), form.column()) : forms.get(0);
        return new Section(file, path + "." + name, f, 1, problems);
    }

    /** Sections that start with a name of their own, by that name. */
    Map<String, Section> named(String name) {
        known.add(name);
        Map<String, Section> sections = new LinkedHashMap<>();
        for (Form form : settings.getOrDefault(name, List.of())) {
            if (form.items().size() < 2 || !(form.items().get(1) instanceof Atom atom)) {
                problem(form, path + "." + name, "(" + name + " NAME ...)");
            } else if (sections.containsKey(atom.text())) {
                problem(atom, path + "." + name, "each name once");
            } else {
                sections.put(
                        atom.text(),
                        new Section(file, path + "." + atom.text(), form, 2, problems));
            }
        }
        return sections;
    }

    /** Sections without names, in order. */
    List<Section> each(String name) {
        known.add(name);
        List<Section> sections = new ArrayList<>();
        for (Form form : settings.getOrDefault(name, List.of())) {
            sections.add(new Section(file, path + "." + name, form, 1, problems));
        }
        return sections;
    }

    /** Notes what nobody asked for. */
    @Override
    public void close() {
        for (Atom atom : words) {
            problem(atom, path, "only lists such as (name value)");
        }
        settings.forEach(
                (name, forms) -> {
                    if (!known.contains(name)) {
                        for (Form form : forms) {
                            problems.add(
                                    new ConfigProblem(
                                            file,
                                            form.line(),
                                            form.column(),
                                            path + "." + name,
                                            name,
                                            nearest(name)));
                        }
                    }
                });
    }

    private String nearest(String name) {
        String all = known.isEmpty() ? "no settings here" : String.join(", ", known);
        return known.stream()
                .filter(text -> DISTANCE.apply(text, name) >= 0)
                .min(java.util.Comparator.comparingInt(text -> DISTANCE.apply(text, name)))
                .map(text -> text + " (the nearest), or any of: " + all)
                .orElse(all);
    }

    private static String shown(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
