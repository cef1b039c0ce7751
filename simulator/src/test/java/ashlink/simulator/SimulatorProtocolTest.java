package ashlink.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.config.flat.FieldException;
import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.Action.CheckHealth;
import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Log;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.SetAttemptResources;
import ashlink.decisions.api.Action.SetTimer;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Action.WatchEndpoints;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;

/** Tests the decoding of events, the encoding of actions and the replies to batches. */
class SimulatorProtocolTest {

    private static final String CREATE_INSTANCE =
            "NEW_INSTANCE router-id=1 nonce64=9 balancers=2 position=0 zone=z classes.count=1"
                + " classes.0.name=q classes.0.promise-ns=500000000"
                + " classes.0.deadline-ns=3000000000 classes.0.effect=idempotent classes.0.gain=1"
                + " host-types=m extra.kind-cores=4 extra.ram-of-kind-mb=4096"
                + " ceilings.attempts-cap=3 some.new-setting=7";
    private static final String ENDPOINT_LIST =
            "LIST list=2 lines=1\nM stripe=0 share=1 engine=h:1 phase=ready zone=z sku=m\n"
                    + "ANNOUNCE router-id=1 stamp=1 form=remembered list=2\n";

    private static String reply(String input) throws IOException {
        StringWriter out = new StringWriter();
        new SimulatorAdapter().run(new BufferedReader(new StringReader(input)), out);
        return out.toString();
    }

    private static Object event(String line) {
        return EventDecoder.event(line.substring(0, line.indexOf(' ')), LineFields.of(line), true);
    }

    @Test
    void decodesSubmittedQuery() {
        assertEquals(
                new QuerySubmitted(5, "q", "k.1", 3, 900, 700, 12.5),
                event(
                        "INGRESS router-id=1 op-id=5 class=q relation=k.1 data-group=3"
                                + " drop-dead-ns=900 guess-ns=700 want-mb=12.5 unheard-of=1"));
    }

    @Test
    void decodesTenantsAndRejectsNegativeQuota() throws IOException {
        assertEquals(
                "gold",
                ((QuerySubmitted)
                                event(
                                        "INGRESS router-id=1 op-id=5 class=q drop-dead-ns=900"
                                                + " tenant=gold"))
                        .tenant());
        assertTrue(
                reply(
                                "SYNC moment-ns=1\n"
                                        + CREATE_INSTANCE
                                        + " parties.count=1 parties.0.name=gold "
                                        + "parties.0.quota-per-s=-2\nEND\n")
                        .contains("gold.quotaPerS"));
    }

    @Test
    void decodesQueriesInFlightAndDiskUtilization() {
        assertEquals(
                new LoadReport(Double.NaN, Double.NaN, Double.NaN, 0.7, 12),
                EventDecoder.loadReport("busy_reqs:12,x1:0.7"));
    }

    @Test
    void ignoresOutOfRangeLoadValuesAndRejectsMalformedReports() {
        assertEquals(
                new LoadReport(Double.NaN, 0.5, Double.NaN, Double.NaN, 3),
                EventDecoder.loadReport("pending:-0.1,cpu_share:0.5,x0:NaN,busy_reqs:3,"));
        assertThrows(
                SimulatorProtocolException.class, () -> EventDecoder.loadReport("pending:many"));
        assertThrows(SimulatorProtocolException.class, () -> EventDecoder.loadReport("pending"));
    }

    @Test
    void decodesEndedAttemptWithCostAndLoadReport() {
        assertEquals(
                new AttemptEnded(
                        5,
                        2,
                        "h:1",
                        Outcome.SERVED,
                        40,
                        true,
                        17,
                        8,
                        new LoadReport(3, Double.NaN, 0.5, Double.NaN)),
                event(
                        "RESOLVED op-id=5 shot=2 note="
                                + (17 * 4096 + 2)
                                + " engine=h:1 verdict=delivered lag-ns=40 "
                                + "complete=1 gauge=pending:3,x0:0.5,novel:9"));
    }

    @Test
    void skipsUnknownLinesAndRejectsMalformedLines() {
        assertNull(event("WHISPER router-id=1 neighbour=2 body=00"));
        assertThrows(FieldException.class, () -> event("FIRED router-id=1 label=soon"));
        assertThrows(
                SimulatorProtocolException.class,
                () -> event("PONG router-id=1 engine=h:1 verdict=perhaps"));
        assertThrows(SimulatorProtocolException.class, () -> event("FIRED label"));
    }

    @Test
    void encodesEveryAction() {
        StringBuilder out = new StringBuilder();
        ActionEncoder encoder = new ActionEncoder(out);
        encoder.encode(4, new StartAttempt(1, "h:1", 80));
        encoder.encode(4, new SetAttemptResources(1, 2, 640));
        encoder.encode(4, new Reject(1, 250));
        encoder.encode(4, new Fail(1));
        encoder.encode(4, new CancelAttempt(1, 0));
        encoder.encode(4, new CheckHealth("h:1"));
        encoder.encode(4, new SetTimer(7, 99));
        encoder.encode(4, new WatchEndpoints());
        encoder.encode(4, new Log("two engines"));
        assertEquals(
                """
                FORWARD router-id=4 op-id=1 timeout-ns=80 engine=h:1
                LIMITS_FOR router-id=4 op-id=1 prio=2 mem-mb=640
                REFUSE router-id=4 op-id=1 hold-off-ns=250
                REPORT_FAILURE router-id=4 op-id=1
                CALL_OFF router-id=4 op-id=1 shot=0
                PING router-id=4 engine=h:1
                SET_ALARM router-id=4 label=7 time-ns=99
                TAIL router-id=4 enable=1
                REMARK router-id=4 reason-text=two engines
                """,
                out.toString());
    }

    @Test
    void repliesToBatch() throws IOException {
        String reply =
                reply(
                        "SYNC moment-ns=0\nEND\n\nSYNC moment-ns=5000000\n"
                                + CREATE_INSTANCE
                                + "\n"
                                + ENDPOINT_LIST
                                + "INGRESS router-id=1 op-id=5 class=q drop-dead-ns=3000000000\n"
                                + "END\n");
        assertTrue(reply.startsWith("OK\nSET_ALARM router-id=1"));
        assertTrue(reply.contains("FORWARD router-id=1 op-id=5"));
        assertTrue(reply.endsWith("engine=h:1\nOK\n"));
    }

    @Test
    void reportsTheNameOfARejectedSetting() throws IOException {
        String withoutWeight = CREATE_INSTANCE.replace("classes.0.gain=1 ", "");
        assertTrue(
                reply("SYNC moment-ns=0\n" + withoutWeight + "\nEND\n")
                        .startsWith("BAIL_OUT router-id=1 reason-text="));
        assertTrue(
                reply("SYNC moment-ns=0\n" + withoutWeight + "\nEND\n").contains("classes.0.gain"));
        assertTrue(
                reply(
                                "SYNC moment-ns=0\n"
                                        + CREATE_INSTANCE.replace("balancers=2", "balancers=0")
                                        + "\nEND\n")
                        .contains("gateways"));
    }

    @Test
    void reportsTheNumberOfAMalformedLine() {
        SimulatorProtocolException failure =
                assertThrows(
                        SimulatorProtocolException.class,
                        () -> reply("SYNC moment-ns=0\nEND\nHELLO\n"));
        assertTrue(failure.getMessage().startsWith("line 3: "));
        assertThrows(SimulatorProtocolException.class, () -> reply("SYNC moment-ns=0\n"));
    }

    @Test
    void removedInstanceReceivesNoEvents() throws IOException {
        String reply =
                reply(
                        "SYNC moment-ns=5000000\n"
                                + CREATE_INSTANCE
                                + "\n"
                                + ENDPOINT_LIST
                                + "RETIRE router-id=1\n"
                                + "INGRESS router-id=1 op-id=5 class=q drop-dead-ns=3000000000\n"
                                + "END\n");
        assertTrue(!reply.contains("FORWARD"));
    }
}
