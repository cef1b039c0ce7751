package ashlink.simulator;

import java.util.List;

/** The recorded scenarios, which together cover the branches of the decision module. */
final class Scenarios {

    private Scenarios() {}

    /** Returns all scenarios in recording order. */
    static List<Scenario> all() {
        return List.of(
                plainPush(),
                polledEndpoints(),
                deduplicationScopes(),
                tenantsAndKeys(),
                slowStart(),
                overload(),
                smallOverload(),
                tableLocks(),
                progressWithoutCancels(),
                cancelsWithoutLoadReports(),
                lateQueries(),
                retryBudget(),
                orderedKeys(),
                swingingRate());
    }

    private static Scenario plainPush() {
        return new Scenario(
                "plain-push",
                11,
                6_000,
                1,
                6,
                60,
                0.5,
                0.3,
                0.2,
                0.8,
                List.of(30.0, 250.0, 1_500.0),
                """
                balancers=2 zone=zone-0 classes.count=3
                classes.0.name=brief classes.0.promise-ns=200000000 classes.0.deadline-ns=2000000000
                classes.0.effect=idempotent classes.0.gain=2
                classes.1.name=usual classes.1.promise-ns=900000000 classes.1.aim-stretch=1.5
                classes.1.deadline-ns=5000000000 classes.1.effect=idempotent classes.1.gain=3
                classes.1.late-share=0.3
                classes.2.name=long classes.2.promise-ns=3000000000
                classes.2.deadline-ns=12000000000 classes.2.effect=idempotent classes.2.gain=5
                classes.2.late-share=0.1
                host-types=small,large extra.kind-cores=4,12 extra.ram-of-kind-mb=2048,16384
                extra.width-by-class=1,2,4 extra.writes-tables=false,true,false
                ceilings.attempts-cap=3 ceilings.may-probe=1 ceilings.cancel=1
                ceilings.retry-after=1 ceilings.max-retry-after-ns=250000000 extra.takes-grants=1
                extra.lanes-count=1 extra.largest-share=0.4 extra.progress-pace-ns=100000000
                extra.cost-in-answers=1 stats.via=inline
                """);
    }

    private static Scenario polledEndpoints() {
        return new Scenario(
                "asked-list",
                12,
                4_500,
                2,
                5,
                18,
                0.8,
                1.2,
                0.1,
                0.4,
                List.of(60.0, 400.0),
                """
                balancers=2 discovery=ask classes.count=2
                classes.0.name=bound classes.0.promise-ns=400000000 classes.0.deadline-ns=2500000000
                classes.0.effect=idempotent classes.0.gain=2 classes.0.host-types-allowed=small,huge
                classes.0.failure-domains-open=zone-0,zone-1
                classes.1.name=free classes.1.promise-ns=1200000000 classes.1.deadline-ns=5000000000
                classes.1.effect=idempotent classes.1.gain=1 classes.1.late-share=0.5
                host-types=small,large,huge extra.kind-cores=2,8,16
                extra.ram-of-kind-mb=1024,8192,32768 extra.width-by-class=1,3
                ceilings.attempts-cap=4 ceilings.cancel=1 extra.lanes-count=1
                """);
    }

    private static Scenario deduplicationScopes() {
        return new Scenario(
                "repeat-groups",
                13,
                5_000,
                1,
                7,
                40,
                1.5,
                0.8,
                0.3,
                0.7,
                List.of(80.0, 80.0, 120.0, 100.0, 60.0),
                """
                balancers=3 classes.count=5
                classes.0.name=all classes.0.promise-ns=700000000 classes.0.deadline-ns=4000000000
                classes.0.effect=deduplicated classes.0.group=all
                classes.0.memory-span-ns=3000000000 classes.0.gain=2
                classes.1.name=zone classes.1.promise-ns=700000000 classes.1.deadline-ns=4000000000
                classes.1.effect=deduplicated classes.1.group=zone
                classes.1.memory-span-ns=1500000000 classes.1.gain=2 classes.1.late-share=0.6
                classes.2.name=cell classes.2.promise-ns=700000000 classes.2.deadline-ns=4000000000
                classes.2.effect=deduplicated classes.2.group=cell
                classes.2.memory-span-ns=400000000 classes.2.gain=2 classes.2.late-share=0.6
                classes.3.name=once classes.3.promise-ns=700000000 classes.3.deadline-ns=4000000000
                classes.3.effect=at_most_once classes.3.gain=3 classes.3.late-share=0.2
                classes.4.name=safe classes.4.promise-ns=500000000 classes.4.deadline-ns=3000000000
                classes.4.effect=idempotent classes.4.gain=1
                host-types=small,large extra.kind-cores=3,6 extra.ram-of-kind-mb=2048,4096
                ceilings.attempts-cap=4 ceilings.cancel=1 ceilings.may-probe=1
                ceilings.retry-after=1 ceilings.max-retry-after-ns=100000000
                """);
    }

    private static Scenario tenantsAndKeys() {
        return new Scenario(
                "tenants-and-keys",
                14,
                5_000,
                2,
                4,
                25,
                0.4,
                0.2,
                0.3,
                0.9,
                List.of(50.0, 200.0),
                """
                balancers=3 classes.count=2 over-share-worth=0.25 parties.count=4
                parties.0.name=gold parties.0.quota-per-s=30 parties.1.name=silver
                parties.1.quota-per-s=8 parties.2.name=free parties.2.quota-per-s=0
                parties.3.name=rare parties.3.quota-per-s=2
                classes.0.name=ordered classes.0.promise-ns=600000000
                classes.0.deadline-ns=3000000000 classes.0.effect=idempotent classes.0.gain=2
                classes.0.one-at-a-time=1 classes.0.late-share=0.5
                classes.1.name=plain classes.1.promise-ns=800000000 classes.1.deadline-ns=4000000000
                classes.1.effect=idempotent classes.1.gain=5
                host-types=small extra.kind-cores=4 extra.ram-of-kind-mb=4096
                extra.width-by-class=1,2
                ceilings.attempts-cap=3 ceilings.may-probe=1 ceilings.cancel=1 stats.via=inline
                rules.turn-gap-ns=150000000 extra.lanes-count=1
                """);
    }

    private static Scenario slowStart() {
        return new Scenario(
                "cold-engines",
                15,
                5_000,
                1,
                8,
                50,
                0.3,
                1.0,
                0.4,
                0.6,
                List.of(20.0, 150.0, 1_200.0),
                """
                balancers=4 classes.count=3
                classes.0.name=brief classes.0.promise-ns=150000000 classes.0.deadline-ns=2000000000
                classes.0.effect=idempotent classes.0.gain=1
                classes.1.name=usual classes.1.promise-ns=900000000 classes.1.deadline-ns=4000000000
                classes.1.effect=idempotent classes.1.gain=2 classes.1.late-share=0.4
                classes.2.name=long classes.2.promise-ns=4000000000 classes.2.deadline-ns=9000000000
                classes.2.effect=idempotent classes.2.gain=4 classes.2.late-share=0.4
                host-types=small,large extra.kind-cores=4,8 extra.ram-of-kind-mb=4096,8192
                extra.width-by-class=1,2,2
                ceilings.attempts-cap=2 ceilings.may-probe=1 stats.via=inline rules.cold-from=0.25
                rules.cold-ns=4000000000 rules.overload-factor=1.5 rules.fall-ns=1000000000
                extra.cost-in-answers=1
                """);
    }

    private static Scenario overload() {
        return new Scenario(
                "crowd",
                16,
                6_000,
                3,
                6,
                6,
                0.3,
                0.15,
                2.0,
                0.8,
                List.of(40.0, 300.0, 1_500.0),
                """
                balancers=200 classes.count=3
                classes.0.name=brief classes.0.promise-ns=400000000 classes.0.deadline-ns=2000000000
                classes.0.effect=idempotent classes.0.gain=2
                classes.1.name=usual classes.1.promise-ns=1500000000
                classes.1.deadline-ns=5000000000 classes.1.effect=idempotent classes.1.gain=2
                classes.1.late-share=0.3
                classes.2.name=wide classes.2.promise-ns=5000000000
                classes.2.deadline-ns=12000000000 classes.2.effect=idempotent classes.2.gain=3
                classes.2.late-share=0.3
                host-types=large extra.kind-cores=16 extra.ram-of-kind-mb=32768
                extra.width-by-class=1,2,8
                ceilings.attempts-cap=3 ceilings.may-probe=1 ceilings.cancel=1 stats.via=inline
                extra.lanes-count=1 rules.cold-from=0.3 rules.cold-ns=5000000000
                rules.overload-factor=1.5 rules.fall-ns=1000000000 extra.takes-grants=1
                extra.progress-pace-ns=200000000
                """);
    }

    private static Scenario smallOverload() {
        return new Scenario(
                "small-crowd",
                17,
                5_000,
                1,
                8,
                35,
                0.4,
                0.8,
                1.6,
                0.9,
                List.of(30.0, 200.0, 900.0),
                """
                balancers=9 classes.count=3
                classes.0.name=brief classes.0.promise-ns=300000000 classes.0.deadline-ns=2000000000
                classes.0.effect=idempotent classes.0.gain=2
                classes.1.name=usual classes.1.promise-ns=1200000000
                classes.1.deadline-ns=4000000000 classes.1.effect=idempotent classes.1.gain=2
                classes.1.host-types-allowed=small
                classes.2.name=wide classes.2.promise-ns=4000000000 classes.2.deadline-ns=9000000000
                classes.2.effect=idempotent classes.2.gain=3 classes.2.late-share=0.2
                host-types=small,large extra.kind-cores=4,8 extra.ram-of-kind-mb=4096,8192
                extra.width-by-class=1,1,4
                ceilings.attempts-cap=3 ceilings.may-probe=1 stats.via=inline
                extra.cost-in-answers=1 ceilings.cancel=1
                """);
    }

    private static Scenario tableLocks() {
        return new Scenario(
                "table-loads",
                18,
                4_500,
                2,
                16,
                24,
                0.3,
                0.3,
                0.2,
                0.7,
                List.of(300.0, 60.0, 40.0),
                """
                balancers=2 classes.count=3
                classes.0.name=load classes.0.promise-ns=2500000000 classes.0.deadline-ns=8000000000
                classes.0.effect=deduplicated classes.0.group=all
                classes.0.memory-span-ns=5000000000 classes.0.gain=3 classes.0.late-share=0.5
                classes.1.name=read classes.1.promise-ns=600000000 classes.1.deadline-ns=3000000000
                classes.1.effect=idempotent classes.1.gain=2
                classes.2.name=other classes.2.promise-ns=500000000 classes.2.deadline-ns=3000000000
                classes.2.effect=idempotent classes.2.gain=1
                host-types=small extra.kind-cores=3 extra.ram-of-kind-mb=512
                extra.width-by-class=2,1,1 extra.writes-tables=true,false,false
                extra.waits-for-loads=false,true,false
                ceilings.attempts-cap=3 ceilings.cancel=1 ceilings.may-probe=1 extra.takes-grants=1
                extra.largest-share=0.25 extra.overbooked=queue extra.progress-pace-ns=50000000
                stats.via=inline
                """);
    }

    private static Scenario progressWithoutCancels() {
        return new Scenario(
                "no-cancels",
                19,
                4_500,
                1,
                5,
                35,
                1.0,
                0.4,
                0.3,
                0.3,
                List.of(100.0, 700.0),
                """
                balancers=1 classes.count=2
                classes.0.name=usual classes.0.promise-ns=500000000 classes.0.deadline-ns=1500000000
                classes.0.effect=idempotent classes.0.gain=2 classes.0.late-share=0.3
                classes.1.name=long classes.1.promise-ns=2000000000 classes.1.deadline-ns=5000000000
                classes.1.effect=at_most_once classes.1.gain=2
                host-types=small,large extra.kind-cores=4,8 extra.ram-of-kind-mb=1024,2048
                extra.width-by-class=1,2
                ceilings.attempts-cap=3 extra.takes-grants=1 extra.cost-in-answers=1
                extra.progress-pace-ns=150000000
                """);
    }

    private static Scenario cancelsWithoutLoadReports() {
        return new Scenario(
                "blind-with-cancels",
                20,
                5_000,
                1,
                6,
                45,
                0.8,
                0.2,
                0,
                0.5,
                List.of(25.0, 150.0, 500.0),
                """
                balancers=1 classes.count=3
                classes.0.name=brief classes.0.promise-ns=150000000 classes.0.deadline-ns=2000000000
                classes.0.effect=idempotent classes.0.gain=2
                classes.1.name=usual classes.1.promise-ns=400000000 classes.1.deadline-ns=5000000000
                classes.1.effect=idempotent classes.1.gain=2 classes.1.late-share=0.5
                classes.2.name=long classes.2.promise-ns=1000000000
                classes.2.deadline-ns=10000000000 classes.2.effect=idempotent classes.2.gain=2
                classes.2.late-share=0.5
                host-types=small extra.kind-cores=6 extra.ram-of-kind-mb=1024
                extra.width-by-class=1,2,2
                ceilings.attempts-cap=4 ceilings.cancel=1 extra.takes-grants=1
                extra.cost-in-answers=1
                """);
    }

    private static Scenario lateQueries() {
        return new Scenario(
                "late-work",
                21,
                5_000,
                1,
                3,
                50,
                0.2,
                0.1,
                0.5,
                1.0,
                List.of(60.0, 250.0),
                """
                balancers=2 classes.count=2
                classes.0.name=strict classes.0.promise-ns=400000000
                classes.0.deadline-ns=1200000000 classes.0.effect=idempotent classes.0.gain=2
                classes.1.name=patient classes.1.promise-ns=700000000 classes.1.aim-stretch=0.5
                classes.1.deadline-ns=6000000000 classes.1.effect=idempotent classes.1.gain=3
                classes.1.late-share=0.6
                host-types=large extra.kind-cores=8 extra.ram-of-kind-mb=8192
                extra.width-by-class=1,1
                ceilings.attempts-cap=2 ceilings.may-probe=1 stats.via=inline ceilings.retry-after=1
                ceilings.max-retry-after-ns=500000000
                """);
    }

    private static Scenario retryBudget() {
        return new Scenario(
                "resend-budget",
                22,
                4_000,
                2,
                6,
                20,
                3.0,
                0.3,
                0.1,
                0.8,
                List.of(60.0, 200.0),
                """
                balancers=2 classes.count=2
                classes.0.name=usual classes.0.promise-ns=600000000 classes.0.deadline-ns=3000000000
                classes.0.effect=idempotent classes.0.gain=2 classes.0.late-share=0.4
                classes.1.name=long classes.1.promise-ns=1500000000 classes.1.deadline-ns=5000000000
                classes.1.effect=idempotent classes.1.gain=2
                host-types=small extra.kind-cores=4 extra.ram-of-kind-mb=4096
                ceilings.attempts-cap=5 ceilings.cancel=1 rules.free-resends=2
                rules.extra-per-request=0.05 rules.counted-over-ns=2000000000
                extra.progress-pace-ns=600000000
                """);
    }

    private static Scenario orderedKeys() {
        return new Scenario(
                "ordered-keys",
                23,
                3_000,
                1,
                3,
                30,
                1.5,
                0.2,
                0,
                0.8,
                List.of(60.0),
                """
                balancers=1 classes.count=1
                classes.0.name=ordered classes.0.promise-ns=900000000
                classes.0.deadline-ns=3000000000 classes.0.effect=at_most_once classes.0.gain=2
                classes.0.one-at-a-time=1 classes.0.late-share=0.7
                host-types=small extra.kind-cores=4 extra.ram-of-kind-mb=4096
                ceilings.attempts-cap=3 ceilings.cancel=1 rules.turn-gap-ns=400000000
                """);
    }

    private static Scenario swingingRate() {
        return new Scenario(
                "swinging-rate",
                27,
                16_000,
                1,
                2,
                130,
                0.2,
                0,
                0,
                1.0,
                List.of(50.0),
                """
                balancers=1 classes.count=1
                classes.0.name=even classes.0.promise-ns=400000000 classes.0.deadline-ns=1500000000
                classes.0.effect=idempotent classes.0.gain=1
                host-types=small extra.kind-cores=8 extra.ram-of-kind-mb=4096
                ceilings.attempts-cap=2
                """);
    }
}
