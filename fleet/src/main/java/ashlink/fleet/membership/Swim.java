package ashlink.fleet.membership;

import ashlink.fleet.membership.MembershipUpdate.State;
import ashlink.fleet.membership.Message.Ack;
import ashlink.fleet.membership.Message.Ping;
import ashlink.fleet.membership.Message.PingFor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One member's part of the protocol. Told the time and what was received, it says what to send; the
 * same story gives the same answers.
 */
public final class Swim {

    /** A message to a member at an address. */
    public record Send(String member, String address, Message message) {}

    private static final class Known {
        MembershipUpdate rumor;
        long suspectUntilNs;

        Known(MembershipUpdate rumor) {
            this.rumor = rumor;
        }
    }

    private static final class Told {
        final MembershipUpdate rumor;
        int times;

        Told(MembershipUpdate rumor) {
            this.rumor = rumor;
        }
    }

    /** A ping on behalf of another. */
    private record Relayed(String asker, String askerAddress, long theirNumber, String target) {}

    private final SwimConfig terms;
    private final SplittableRandom random;
    private final Map<String, Known> members = new TreeMap<>();
    private final Map<String, Told> rumors = new TreeMap<>();
    private final Map<Long, Relayed> relayed = new HashMap<>();
    private final List<String> order = new ArrayList<>();
    private MembershipUpdate self;
    private long numbers;
    private long periods;
    private long nextPeriodNs;
    private long lastNs;
    private boolean begun;
    private String asked;
    private long askedNumber;
    private long indirectAtNs;
    private boolean indirectDone;
    private long falseAlarms;

    /** A member of that name and address, which knows some others by address. */
    public Swim(
            String name, String address, Map<String, String> seeds, SwimConfig terms, long seed) {
        this.terms = terms;
        this.random = new SplittableRandom(seed);
        this.self = new MembershipUpdate(name, address, 0, State.ALIVE);
        seeds.forEach(
                (member, at) -> {
                    if (!member.equals(name)) {
                        members.put(
                                member,
                                new Known(new MembershipUpdate(member, at, 0, State.ALIVE)));
                    }
                });
        tell(self);
    }

    // ---- Time
    /** The time has come to look. */
    public List<Send> tick(long now) {
        List<Send> out = new ArrayList<>();
        if (!begun) {
            begun = true;
            nextPeriodNs = now + random.nextLong(terms.periodNs());
        }
        long slept = begun && lastNs > 0 ? now - lastNs - terms.periodNs() : 0;
        lastNs = now;
        if (slept > 2 * terms.periodNs()) {
            awake(slept, now);
        }
        suspicionsOver(now);
        if (asked != null && !indirectDone && now >= indirectAtNs) {
            indirectDone = true;
            for (String helper : some(terms.indirect(), asked)) {
                out.add(to(helper, new PingFor(askedNumber, asked, gossip())));
            }
        }
        if (now >= nextPeriodNs) {
            if (asked != null) {
                suspect(asked, now);
            }
            nextPeriodNs = Math.max(nextPeriodNs + terms.periodNs(), now + terms.periodNs() / 2);
            begin(now, out);
        }
        return out;
    }

    /**
     * This member stood still itself: answers may have come and gone unread, and nobody is to be
     * blamed. The pending ask is dropped, and suspicions get the time that was slept.
     */
    private void awake(long slept, long now) {
        asked = null;
        relayed.clear();
        nextPeriodNs = now;
        members.values().forEach(k -> k.suspectUntilNs += slept);
    }

    private void begin(long now, List<Send> out) {
        periods++;
        asked = null;
        relayed.clear();
        String next = next();
        if (next != null) {
            asked = next;
            askedNumber = ++numbers;
            indirectAtNs = now + terms.ackNs();
            indirectDone = false;
            out.add(to(next, new Ping(askedNumber, gossip())));
        }
        if (periods % terms.regainPeriods() == 0) {
            List<String> gone =
                    members.entrySet().stream()
                            .filter(e -> e.getValue().rumor.state() == State.GONE)
                            .map(Map.Entry::getKey)
                            .toList();
            if (!gone.isEmpty()) {
                String one = gone.get(random.nextInt(gone.size()));
                List<MembershipUpdate> with = new ArrayList<>(gossip());
                with.add(
                        members.get(one)
                                .rumor); // it learns what is said of it, and can refute that
                out.add(to(one, new Ping(++numbers, with)));
            }
        }
    }

    /**
     * The next in a random order that has each member once: the time until one is asked is bounded.
     */
    private String next() {
        while (true) {
            if (order.isEmpty()) {
                members.forEach(
                        (m, k) -> {
                            if (k.rumor.state() != State.GONE) {
                                order.add(random.nextInt(order.size() + 1), m);
                            }
                        });
                if (order.isEmpty()) {
                    return null;
                }
            }
            String m = order.remove(order.size() - 1);
            if (members.containsKey(m) && members.get(m).rumor.state() != State.GONE) {
                return m;
            }
        }
    }

    private List<String> some(int count, String but) {
        List<String> from =
                new ArrayList<>(
                        members.entrySet().stream()
                                .filter(
                                        e ->
                                                e.getValue().rumor.state() == State.ALIVE
                                                        && !e.getKey().equals(but))
                                .map(Map.Entry::getKey)
                                .toList());
        List<String> chosen = new ArrayList<>();
        while (chosen.size() < count && !from.isEmpty()) {
            chosen.add(from.remove(random.nextInt(from.size())));
        }
        return chosen;
    }

    private Send to(String member, Message m) {
        return new Send(member, members.get(member).rumor.address(), m);
    }

    // ---- Messages
    /** A message came from that member. */
    public List<Send> receive(String from, String address, Message m, long now) {
        List<Send> out = new ArrayList<>();
        Known sender = members.get(from);
        if (sender == null && !from.equals(self.member())) {
            believe(new MembershipUpdate(from, address, 0, State.ALIVE), now);
        }
        m.rumors().forEach(r -> believe(r, now));
        if (m instanceof Ping p) {
            List<MembershipUpdate> with = new ArrayList<>(gossip());
            if (sender != null && sender.rumor.state() != State.ALIVE) {
                with.add(sender.rumor); // who is taken for gone and speaks is told so
            }
            out.add(new Send(from, address, new Ack(p.number(), self.member(), with)));
        } else if (m instanceof PingFor p && members.containsKey(p.target())) {
            long number = ++numbers;
            relayed.put(number, new Relayed(from, address, p.number(), p.target()));
            out.add(to(p.target(), new Ping(number, gossip())));
        } else if (m instanceof Ack a) {
            Relayed r = relayed.remove(a.number());
            if (r != null && r.target.equals(a.of())) {
                out.add(
                        new Send(
                                r.asker, r.askerAddress, new Ack(r.theirNumber, a.of(), gossip())));
            } else if (a.number() == askedNumber && a.of().equals(asked)) {
                asked = null;
            }
        }
        return out;
    }

    private void believe(MembershipUpdate r, long now) {
        if (r.member().equals(self.member())) {
            if (r.incarnation() >= self.incarnation() && r.state() != State.ALIVE) {
                falseAlarms++;
                self =
                        new MembershipUpdate(
                                self.member(),
                                self.address(),
                                r.incarnation() + 1,
                                State.ALIVE); // refutes it
                tell(self);
            } else if (r.incarnation() > self.incarnation()) {
                self =
                        new MembershipUpdate(
                                self.member(),
                                self.address(),
                                r.incarnation() + 1,
                                State.ALIVE); // of an earlier life
                tell(self);
            }
            return;
        }
        Known known = members.get(r.member());
        if (known == null) {
            if (r.state() == State.GONE) {
                return; // nothing to forget
            }
            known = new Known(r);
            members.put(r.member(), known);
        } else if (r.overrides(known.rumor)) {
            known.rumor = r;
        } else {
            return;
        }
        if (r.state() == State.SUSPECT) {
            known.suspectUntilNs = now + suspicionNs();
        }
        tell(r);
    }

    private void suspect(String member, long now) {
        MembershipUpdate r = members.get(member).rumor;
        if (r.state() == State.ALIVE) {
            believe(new MembershipUpdate(member, r.address(), r.incarnation(), State.SUSPECT), now);
        }
    }

    private void suspicionsOver(long now) {
        for (Known k : members.values()) {
            if (k.rumor.state() == State.SUSPECT && now >= k.suspectUntilNs) {
                k.rumor =
                        new MembershipUpdate(
                                k.rumor.member(),
                                k.rumor.address(),
                                k.rumor.incarnation(),
                                State.GONE);
                tell(k.rumor);
            }
        }
    }

    private double logOfMembers() {
        return Math.log(members.size() + 2.0) / Math.log(2);
    }

    private long suspicionNs() {
        return (long) (terms.suspicion() * logOfMembers() * terms.periodNs());
    }

    // ---- Rumors
    private void tell(MembershipUpdate r) {
        rumors.put(r.member(), new Told(r));
    }

    /** The rumors told least often so far, each as often as the paper has it. */
    private List<MembershipUpdate> gossip() {
        int most = (int) Math.ceil(terms.spread() * logOfMembers());
        List<Told> chosen =
                rumors.values().stream()
                        .sorted(
                                Comparator.comparingInt((Told t) -> t.times)
                                        .thenComparing(t -> t.rumor.member()))
                        .limit(terms.rumors())
                        .toList();
        List<MembershipUpdate> out = new ArrayList<>();
        for (Told t : chosen) {
            out.add(t.rumor);
            if (++t.times >= most) {
                rumors.remove(t.rumor.member());
            }
        }
        return out;
    }

    // ---- What is known
    /** What is held of each member, this one left out. */
    public Map<String, MembershipUpdate> members() {
        Map<String, MembershipUpdate> all = new TreeMap<>();
        members.forEach((m, k) -> all.put(m, k.rumor));
        return all;
    }

    /** What is held of one member; null of one that is not known. */
    public State held(String member) {
        Known k = members.get(member);
        return k == null ? null : k.rumor.state();
    }

    /** Times that this member was suspected and refuted it. */
    public long falseAlarms() {
        return falseAlarms;
    }

    /** When to look again at the latest, for a clock that goes by {@link #tick}. */
    public long nextNs() {
        return asked != null && !indirectDone ? Math.min(nextPeriodNs, indirectAtNs) : nextPeriodNs;
    }
}
