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
        members.values().forEach(known -> known.suspectUntilNs += slept);
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
                            .filter(entry -> entry.getValue().rumor.state() == State.GONE)
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
                        (text, known) -> {
                            if (known.rumor.state() != State.GONE) {
                                order.add(random.nextInt(order.size() + 1), text);
                            }
                        });
                if (order.isEmpty()) {
                    return null;
                }
            }
            String text = order.remove(order.size() - 1);
            if (members.containsKey(text) && members.get(text).rumor.state() != State.GONE) {
                return text;
            }
        }
    }

    private List<String> some(int count, String but) {
        List<String> from =
                new ArrayList<>(
                        members.entrySet().stream()
                                .filter(
                                        entry ->
                                                entry.getValue().rumor.state() == State.ALIVE
                                                        && !entry.getKey().equals(but))
                                .map(Map.Entry::getKey)
                                .toList());
        List<String> chosen = new ArrayList<>();
        while (chosen.size() < count && !from.isEmpty()) {
            chosen.add(from.remove(random.nextInt(from.size())));
        }
        return chosen;
    }

    private Send to(String member, Message message) {
        return new Send(member, members.get(member).rumor.address(), message);
    }

    // ---- Messages
    /** A message came from that member. */
    public List<Send> receive(String from, String address, Message message, long now) {
        List<Send> out = new ArrayList<>();
        Known sender = members.get(from);
        if (sender == null && !from.equals(self.member())) {
            believe(new MembershipUpdate(from, address, 0, State.ALIVE), now);
        }
        message.rumors().forEach(membershipUpdate -> believe(membershipUpdate, now));
        if (message instanceof Ping ping) {
            List<MembershipUpdate> with = new ArrayList<>(gossip());
            if (sender != null && sender.rumor.state() != State.ALIVE) {
                with.add(sender.rumor); // who is taken for gone and speaks is told so
            }
            out.add(new Send(from, address, new Ack(ping.number(), self.member(), with)));
        } else if (message instanceof PingFor pingFor && members.containsKey(pingFor.target())) {
            long number = ++numbers;
            relayed.put(number, new Relayed(from, address, pingFor.number(), pingFor.target()));
            out.add(to(pingFor.target(), new Ping(number, gossip())));
        } else if (message instanceof Ack ack) {
            Relayed r = relayed.remove(ack.number());
            if (r != null && r.target.equals(ack.of())) {
                out.add(
                        new Send(
                                r.asker,
                                r.askerAddress,
                                new Ack(r.theirNumber, ack.of(), gossip())));
            } else if (ack.number() == askedNumber && ack.of().equals(asked)) {
                asked = null;
            }
        }
        return out;
    }

    private void believe(MembershipUpdate membershipUpdate, long now) {
        if (membershipUpdate.member().equals(self.member())) {
            if (membershipUpdate.incarnation() >= self.incarnation()
                    && membershipUpdate.state() != State.ALIVE) {
                falseAlarms++;
                self =
                        new MembershipUpdate(
                                self.member(),
                                self.address(),
                                membershipUpdate.incarnation() + 1,
                                State.ALIVE); // refutes it
                tell(self);
            } else if (membershipUpdate.incarnation() > self.incarnation()) {
                self =
                        new MembershipUpdate(
                                self.member(),
                                self.address(),
                                membershipUpdate.incarnation() + 1,
                                State.ALIVE); // of an earlier life
                tell(self);
            }
            return;
        }
        Known known = members.get(membershipUpdate.member());
        if (known == null) {
            if (membershipUpdate.state() == State.GONE) {
                return; // nothing to forget
            }
            known = new Known(membershipUpdate);
            members.put(membershipUpdate.member(), known);
        } else if (membershipUpdate.overrides(known.rumor)) {
            known.rumor = membershipUpdate;
        } else {
            return;
        }
        if (membershipUpdate.state() == State.SUSPECT) {
            known.suspectUntilNs = now + suspicionNs();
        }
        tell(membershipUpdate);
    }

    private void suspect(String member, long now) {
        MembershipUpdate membershipUpdate = members.get(member).rumor;
        if (membershipUpdate.state() == State.ALIVE) {
            believe(
                    new MembershipUpdate(
                            member,
                            membershipUpdate.address(),
                            membershipUpdate.incarnation(),
                            State.SUSPECT),
                    now);
        }
    }

    private void suspicionsOver(long now) {
        for (Known known : members.values()) {
            if (known.rumor.state() == State.SUSPECT && now >= known.suspectUntilNs) {
                known.rumor =
                        new MembershipUpdate(
                                known.rumor.member(),
                                known.rumor.address(),
                                known.rumor.incarnation(),
                                State.GONE);
                tell(known.rumor);
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
    private void tell(MembershipUpdate membershipUpdate) {
        rumors.put(membershipUpdate.member(), new Told(membershipUpdate));
    }

    /** The rumors told least often so far, each as often as the paper has it. */
    private List<MembershipUpdate> gossip() {
        int most = (int) Math.ceil(terms.spread() * logOfMembers());
        List<Told> chosen =
                rumors.values().stream()
                        .sorted(
                                Comparator.comparingInt((Told told) -> told.times)
                                        .thenComparing(told -> told.rumor.member()))
                        .limit(terms.rumors())
                        .toList();
        List<MembershipUpdate> out = new ArrayList<>();
        for (Told told : chosen) {
            out.add(told.rumor);
            if (++told.times >= most) {
                rumors.remove(told.rumor.member());
            }
        }
        return out;
    }

    // ---- What is known
    /** What is held of each member, this one left out. */
    public Map<String, MembershipUpdate> members() {
        Map<String, MembershipUpdate> all = new TreeMap<>();
        members.forEach((text, known) -> all.put(text, known.rumor));
        return all;
    }

    /** What is held of one member; null of one that is not known. */
    public State held(String member) {
        Known known = members.get(member);
        return known == null ? null : known.rumor.state();
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
