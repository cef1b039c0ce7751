package ashlink.fleet.notice;

import ashlink.fleet.notice.NoticeSet.Held;
import ashlink.fleet.notice.NoticeSet.Say;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Decides to whom a router carries notices: what is new to it goes to all peers at once, or to a
 * sample where there are many, each of whom does the same; and from time to time it compares all
 * that it knows with one peer, whatever is held of that peer, so that what was lost on the way
 * arrives all the same.
 */
public final class Carrier {

    /** Peers that are told at once. */
    private static final int ALL = 32;

    private static final int SAMPLE = 6;
    private static final int CHUNK = 200;

    /** What is to be sent. */
    public sealed interface Out {

        /** To whom. */
        String peer();

        /** These notices. */
        record Tell(String peer, List<Held> notices) implements Out {}

        /**
         * What is known, for the peer to send what is lacked; {@code back}: an answer to a
         * comparison, which is not answered.
         */
        record Compare(String peer, Map<Say, Integer> digest, boolean back) implements Out {}
    }

    private final NoticeSet set;
    private final SplittableRandom random;

    /** Carries the notices of that set. */
    public Carrier(NoticeSet set, long seed) {
        this.set = set;
        this.random = new SplittableRandom(seed);
    }

    /** Something is new here; it came from that peer, or empty. */
    public List<Out> spread(List<Held> fresh, Collection<String> peers, String from) {
        List<String> to = new ArrayList<>(peers);
        to.remove(from);
        boolean many = to.size() > ALL;
        while (many && to.size() > SAMPLE) {
            to.remove(random.nextInt(to.size()));
        }
        return fresh.isEmpty()
                ? List.of()
                : to.stream().map(p -> (Out) new Out.Tell(p, fresh)).toList();
    }

    /** It is time to compare with somebody. */
    public List<Out> compare(Collection<String> peers) {
        if (peers.isEmpty()) {
            return List.of();
        }
        List<String> all = new ArrayList<>(peers);
        return List.of(new Out.Compare(all.get(random.nextInt(all.size())), set.digest(), false));
    }

    /** A peer told what it knows: it gets what it lacks, and is asked for what it has otherwise. */
    public List<Out> compared(String peer, Map<Say, Integer> theirs, boolean back, long nowMs) {
        List<Out> out = new ArrayList<>();
        List<Held> lacked = set.lackedBy(theirs, nowMs);
        for (int i = 0; i < lacked.size(); i += CHUNK) {
            out.add(
                    new Out.Tell(
                            peer,
                            List.copyOf(lacked.subList(i, Math.min(lacked.size(), i + CHUNK)))));
        }
        if (!back && !theirs.equals(set.digest())) {
            out.add(new Out.Compare(peer, set.digest(), true));
        }
        return out;
    }
}
