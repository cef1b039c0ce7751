package ashlink.router;

import ashlink.capture.ModuleHash;
import ashlink.capture.Recorder;
import ashlink.capture.events.Entry;
import ashlink.capture.log.FolderDisk;
import ashlink.config.RouterConfig;
import ashlink.config.RouterConfig.CaptureSpec;
import ashlink.decisions.api.WorkloadManager;
import ashlink.router.core.Core;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.function.UnaryOperator;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Capture of the decisions of a router. A failure of the capture does not stop the router from
 * serving requests.
 */
final class RouterCapture {

    private static final Logger LOG = LoggerFactory.getLogger(RouterCapture.class);
    private static final long DISK_RETRY_DELAY_NS = 500_000_000L;
    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final int HASHED_KEY_BYTES = 8;
    private static final int SECRET_BYTES = 32;

    /** Null if the capture is disabled. */
    private final Recorder recorder;

    private RouterCapture(Recorder recorder) {
        this.recorder = recorder;
    }

    /**
     * Starts the capture if the settings define a directory for it and no other process uses the
     * directory.
     */
    static RouterCapture start(
            RouterConfig config,
            Class<? extends WorkloadManager> module,
            Core core,
            PrometheusRegistry registry) {
        CaptureSpec spec = config.capture();
        if (spec.dir() == null) {
            return new RouterCapture(null);
        }
        try {
            Recorder recorder =
                    new Recorder(
                            FolderDisk.writing(spec.dir()),
                            System.currentTimeMillis(),
                            spec.segmentBytes(),
                            spec.retainedBytes(),
                            spec.queueEntries(),
                            spec.syncIntervalNs(),
                            DISK_RETRY_DELAY_NS,
                            keyHash(spec.keySecret()));
            recorder.record(
                    new Entry.Start(ModuleHash.of(module), config.settings(), config.name()));
            core.observe(
                    (event, nowNs, actions) ->
                            recorder.record(new Entry.Step(event, nowNs, List.copyOf(actions))));
            registerMetrics(recorder, registry);
            return new RouterCapture(recorder);
        } catch (IOException e) {
            LOG.error("capture disabled error=\"{}\"", e.toString());
            return new RouterCapture(null);
        }
    }

    private static void registerMetrics(Recorder recorder, PrometheusRegistry registry) {
        GaugeWithCallback.builder()
                .name("ashlink_capture_gaps")
                .help("Gaps in the capture since the start")
                .callback(callback -> callback.call(recorder.gaps()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("ashlink_capture_dropped")
                .help("Entries dropped and not yet recorded as a gap")
                .callback(callback -> callback.call(recorder.dropped()))
                .register(registry);
    }

    /**
     * Returns a keyed hash function for ordering keys, because ordering keys may identify
     * customers.
     */
    private static UnaryOperator<String> keyHash(String secret) {
        byte[] key = secret.getBytes(StandardCharsets.UTF_8);
        if (key.length == 0) {
            key = new byte[SECRET_BYTES];
            new SecureRandom().nextBytes(key);
        }
        SecretKeySpec spec = new SecretKeySpec(key, MAC_ALGORITHM);
        return text -> {
            try {
                Mac mac = Mac.getInstance(MAC_ALGORITHM);
                mac.init(spec);
                return HexFormat.of()
                        .formatHex(
                                mac.doFinal(text.getBytes(StandardCharsets.UTF_8)),
                                0,
                                HASHED_KEY_BYTES);
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException(
                        "required algorithm " + MAC_ALGORITHM + " is not available", e);
            }
        };
    }

    void stop() {
        if (recorder != null) {
            try {
                recorder.close();
            } catch (IOException e) {
                LOG.warn("capture close failed error=\"{}\"", e.toString());
            }
        }
    }

    void kill() {
        if (recorder != null) {
            try {
                recorder.kill();
            } catch (IOException e) {
                LOG.warn("capture close failed error=\"{}\"", e.toString());
            }
        }
    }
}
