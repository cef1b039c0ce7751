package ashlink.router.core;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.IntSupplier;

/** Records the metrics of the core in a Prometheus registry. */
public final class PrometheusRequestMetrics implements RequestMetrics {

    private final Counter requests;
    private final Counter answers;
    private final Counter attempts;
    private final Counter decisionErrors;
    private final PrometheusRegistry registry;

    /** Creates the metrics and registers their counters. */
    public PrometheusRequestMetrics(PrometheusRegistry registry) {
        this.registry = registry;
        requests =
                Counter.builder()
                        .name("ashlink_requests")
                        .help("Requests admitted")
                        .labelNames("class")
                        .register(registry);
        answers =
                Counter.builder()
                        .name("ashlink_answers")
                        .help("Final answers")
                        .labelNames("class", "answer")
                        .register(registry);
        attempts =
                Counter.builder()
                        .name("ashlink_attempts")
                        .help("Attempts ended")
                        .labelNames("engine", "outcome")
                        .register(registry);
        decisionErrors =
                Counter.builder()
                        .name("ashlink_module_errors")
                        .help("Exceptions of the decision module")
                        .register(registry);
    }

    @Override
    public void registerGauges(IntSupplier queuedEvents, IntSupplier openRequests) {
        GaugeWithCallback.builder()
                .name("ashlink_queue")
                .help("Events waiting for the decision thread")
                .callback(callback -> callback.call(queuedEvents.getAsInt()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("ashlink_open_requests")
                .help("Requests without a final answer")
                .callback(callback -> callback.call(openRequests.getAsInt()))
                .register(registry);
    }

    @Override
    public void onAdmitted(String queryClass) {
        requests.labelValues(queryClass).inc();
    }

    @Override
    public void onCompleted(String queryClass, RequestCompletion completion) {
        answers.labelValues(queryClass, completion.label()).inc();
    }

    @Override
    public void onAttemptEnded(String engine, String outcome) {
        attempts.labelValues(engine, outcome).inc();
    }

    @Override
    public void onDecisionError() {
        decisionErrors.inc();
    }
}
