package ashlink.config;

import ashlink.config.Node.Atom;
import ashlink.config.Node.Form;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * A section of a settings file; its settings are read by name. An invalid value is reported as a
 * problem and replaced by a default value, so that one pass finds all problems of the file. {@link
 * #close} reports settings that were not read, because their names are unknown. A setting whose
 * default value is null is required.
 */
final class Section implements AutoCloseable {

    private final Form form;
    private final ProblemReporter reporter;
    private final Map<String, List<Form>> settings = new LinkedHashMap<>();
    private final Set<String> knownNames = new LinkedHashSet<>();
    private final List<Atom> unexpectedWords = new ArrayList<>();

    /**
     * Creates a section from the items of {@code form}, starting at index {@code firstItem}.
     *
     * @param firstItem 1 to skip the head, 2 to skip the head and the name of the section
     */
    private Section(Form form, int firstItem, ProblemReporter reporter) {
        this.form = form;
        this.reporter = reporter;
        int size = form.items().size();
        for (Node node : form.items().subList(Math.min(firstItem, size), size)) {
            if (node instanceof Form setting && !setting.head().isEmpty()) {
                settings.computeIfAbsent(setting.head(), name -> new ArrayList<>()).add(setting);
            } else if (node instanceof Atom word) {
                unexpectedWords.add(word);
            } else {
                reporter.unexpectedNode(node, "a list that starts with the name of a setting");
            }
        }
    }

    /** Returns the only top-level list of the file; the list must start with {@code name}. */
    static Section root(String file, List<Node> nodes, String name, List<ConfigProblem> problems) {
        ProblemReporter reporter = new ProblemReporter(file, name, problems);
        if (nodes.size() == 1 && nodes.get(0) instanceof Form form && form.head().equals(name)) {
            return new Section(form, 1, reporter);
        }
        if (problems.isEmpty()) {
            problems.add(
                    new ConfigProblem(
                            file, 1, 1, "", "invalid content", "a single list (" + name + " ...)"));
        }
        return new Section(new Form(List.of(), 1, 1), 0, reporter);
    }

    // Problems

    /** Reports an invalid setting {@code name}, or this section if the setting is missing. */
    void reject(String name, String accepted) {
        Node place = form;
        if (settings.containsKey(name)) {
            Form setting = settings.get(name).get(0);
            place = setting.items().size() > 1 ? setting.items().get(1) : setting;
        }
        reporter.invalidValue(place, name, accepted);
    }

    /** Reports the setting {@code name} unless its value is empty or one of {@code names}. */
    void checkOneOf(String name, String value, Collection<String> names) {
        if (!value.isEmpty() && !names.contains(value)) {
            String accepted = "one of " + String.join(", ", names);
            reject(name, names.isEmpty() ? "no value, because none is defined" : accepted);
        }
    }

    /** Reports each of the values of the setting {@code name} that is not among {@code names}. */
    void checkAllOf(String name, Set<String> values, Collection<String> names) {
        for (String value : values) {
            if (!names.contains(value)) {
                reject(name, "one of " + String.join(", ", names) + " instead of " + value);
            }
        }
    }

    // Values

    /** Returns whether the setting is present. */
    boolean has(String name) {
        knownNames.add(name);
        return settings.containsKey(name);
    }

    /** Returns the only value of a setting, or null if the setting is missing or malformed. */
    private Atom atom(String name, String accepted) {
        knownNames.add(name);
        List<Form> forms = settings.get(name);
        if (forms == null) {
            return null;
        }
        if (forms.size() > 1) {
            reporter.invalidValue(forms.get(1), name, "the setting at most once");
        }
        List<Node> items = forms.get(0).items();
        if (items.size() == 2 && items.get(1) instanceof Atom atom) {
            return atom;
        }
        reporter.invalidValue(forms.get(0), name, accepted);
        return null;
    }

    /** Like {@link #atom(String, String)}, but also reports a missing setting if it is required. */
    private Atom atom(String name, String accepted, boolean required) {
        Atom atom = atom(name, accepted);
        if (required && !settings.containsKey(name)) {
            reporter.missingSetting(form, name, accepted);
        }
        return atom;
    }

    /** Reads a word or a quoted string. */
    String text(String name, String defaultValue) {
        Atom atom = atom(name, "a word or a quoted string", defaultValue == null);
        if (atom != null) {
            return atom.text();
        }
        return defaultValue == null ? "" : defaultValue;
    }

    /** Reads {@code yes} or {@code no}. */
    boolean flag(String name, boolean defaultValue) {
        Atom atom = atom(name, "yes or no");
        if (atom == null) {
            return defaultValue;
        }
        if (!atom.text().equals("yes") && !atom.text().equals("no")) {
            reporter.invalidValue(atom, name, "yes or no");
        }
        return atom.text().equals("yes");
    }

    /** Reads a number without a unit. */
    double number(String name, Double defaultValue, double min, double max) {
        return quantity(name, defaultValue, Quantity.number(min, max));
    }

    /** Reads an integer without a unit. */
    long integer(String name, Long defaultValue, long min, long max) {
        Quantity quantity = Quantity.integer(min, max);
        double value = quantity(name, toDouble(defaultValue), quantity);
        if (value != Math.rint(value)) {
            reject(name, quantity.accepted());
        }
        return (long) value;
    }

    /** Reads a duration in nanoseconds. */
    long durationNs(String name, Long defaultNs, long minNs, long maxNs) {
        return (long) quantity(name, toDouble(defaultNs), Quantity.duration(minNs, maxNs));
    }

    /** Reads a size in bytes. */
    long sizeBytes(String name, Long defaultBytes, long minBytes, long maxBytes) {
        return (long) quantity(name, toDouble(defaultBytes), Quantity.size(minBytes, maxBytes));
    }

    /** Reads a rate of at least 0, in events per second. */
    double ratePerS(String name, Double defaultPerS, double maxPerS) {
        return quantity(name, defaultPerS, Quantity.rate(maxPerS));
    }

    private double quantity(String name, Double defaultValue, Quantity quantity) {
        double fallback = defaultValue == null ? quantity.min() : defaultValue;
        Atom atom = atom(name, quantity.accepted(), defaultValue == null);
        if (atom == null) {
            return fallback;
        }
        OptionalDouble value = quantity.parse(atom.text());
        if (value.isEmpty()) {
            reporter.invalidValue(atom, name, quantity.accepted());
        }
        return value.orElse(fallback);
    }

    private static Double toDouble(Long value) {
        return value == null ? null : (double) value;
    }

    /** Reads {@code host:port}; port 0 stands for any free port. */
    InetSocketAddress address(String name, InetSocketAddress defaultValue) {
        Atom atom = atom(name, AddressParser.ACCEPTED, defaultValue == null);
        if (atom == null) {
            return defaultValue;
        }
        Optional<InetSocketAddress> address = AddressParser.parse(atom.text());
        if (address.isEmpty()) {
            reporter.invalidValue(atom, name, AddressParser.ACCEPTED);
        }
        return address.orElse(defaultValue);
    }

    /**
     * Reads one of several words.
     *
     * @param values values by word, in the order of the words in error messages; not empty
     */
    <V> V choice(String name, V defaultValue, Map<String, V> values) {
        V fallback = defaultValue == null ? values.values().iterator().next() : defaultValue;
        String accepted = "one of " + String.join(", ", values.keySet());
        Atom atom = atom(name, accepted, defaultValue == null);
        if (atom == null) {
            return fallback;
        }
        if (!values.containsKey(atom.text())) {
            reporter.invalidValue(atom, name, accepted);
        }
        return values.getOrDefault(atom.text(), fallback);
    }

    /** Reads all words of a setting, in order; returns an empty set if the setting is missing. */
    Set<String> words(String name) {
        knownNames.add(name);
        Set<String> words = new LinkedHashSet<>();
        for (Form setting : settings.getOrDefault(name, List.of())) {
            for (Node node : setting.items().subList(1, setting.items().size())) {
                if (node instanceof Atom atom) {
                    words.add(atom.text());
                } else {
                    reporter.invalidValue(node, name, "only words");
                }
            }
        }
        return words;
    }

    // Nested sections

    /** Returns the only section {@code (name ...)}, or an empty section if there is none. */
    Section section(String name) {
        knownNames.add(name);
        List<Form> forms = settings.get(name);
        if (forms == null) {
            Form empty = new Form(List.of(), form.line(), form.column());
            return new Section(empty, 1, reporter.nested(name));
        }
        if (forms.size() > 1) {
            reporter.invalidValue(forms.get(1), name, "the section at most once");
        }
        return new Section(forms.get(0), 1, reporter.nested(name));
    }

    /** Returns all sections {@code (name NAME ...)} by {@code NAME}, in order. */
    Map<String, Section> namedSections(String name) {
        knownNames.add(name);
        Map<String, Section> sections = new LinkedHashMap<>();
        for (Form section : settings.getOrDefault(name, List.of())) {
            if (section.items().size() < 2 || !(section.items().get(1) instanceof Atom atom)) {
                reporter.invalidValue(section, name, "(" + name + " NAME ...)");
            } else if (sections.containsKey(atom.text())) {
                reporter.invalidValue(atom, name, "a unique name");
            } else {
                sections.put(atom.text(), new Section(section, 2, reporter.nested(atom.text())));
            }
        }
        return sections;
    }

    /** Returns all sections {@code (name ...)} in order; the sections themselves have no names. */
    List<Section> repeatedSections(String name) {
        knownNames.add(name);
        List<Section> sections = new ArrayList<>();
        for (Form section : settings.getOrDefault(name, List.of())) {
            sections.add(new Section(section, 1, reporter.nested(name)));
        }
        return sections;
    }

    /** Reports settings that were not read and words that belong to no setting. */
    @Override
    public void close() {
        for (Atom word : unexpectedWords) {
            reporter.unexpectedNode(word, "a list such as (NAME VALUE)");
        }
        settings.forEach(
                (name, forms) -> {
                    if (!knownNames.contains(name)) {
                        forms.forEach(
                                setting -> reporter.unknownSetting(setting, name, knownNames));
                    }
                });
    }
}
