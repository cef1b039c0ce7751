package ashlink.capture.events;

import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.Tenant;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Encodes and decodes the settings of a decision module: all fields in a fixed order. */
final class SettingsCodec {

    private SettingsCodec() {}

    static void write(Settings settings, FrameEncoder out) {
        out.writeSigned(settings.seed());
        out.writeUnsigned(settings.routerCount());
        out.writeUnsigned(settings.routerIndex());
        out.writeText(settings.zone());
        out.writeUnsigned(settings.classes().size());
        settings.classes().forEach(queryClass -> writeQueryClass(queryClass, out));
        out.writeUnsigned(settings.kinds().size());
        for (EngineKind kind : settings.kinds()) {
            out.writeText(kind.name());
            out.writeUnsigned(kind.cores());
            out.writeDouble(kind.memoryMb());
        }
        writeCapabilities(settings.capabilities(), out);
        writePolicyLimits(settings.limits(), out);
        out.writeUnsigned(settings.tenants().size());
        for (Tenant tenant : settings.tenants()) {
            out.writeText(tenant.name());
            out.writeDouble(tenant.quotaPerS());
        }
        out.writeDouble(settings.overQuotaWeight());
    }

    static Settings read(FrameDecoder in) throws IOException {
        return new Settings(
                in.readSigned(),
                in.readCount(Integer.MAX_VALUE),
                in.readCount(Integer.MAX_VALUE),
                in.readText(),
                readQueryClasses(in),
                readEngineKinds(in),
                readCapabilities(in),
                readPolicyLimits(in),
                readTenants(in),
                in.readDouble());
    }

    private static void writeQueryClass(QueryClass queryClass, FrameEncoder out) {
        out.writeText(queryClass.name());
        out.writeSigned(queryClass.latencyObjectiveNs());
        out.writeDouble(queryClass.objectivePerWork());
        out.writeSigned(queryClass.deadlineNs());
        out.writeEnum(queryClass.retrySafety());
        out.writeEnum(queryClass.deduplicationScope());
        out.writeSigned(queryClass.deduplicationWindowNs());
        out.writeDouble(queryClass.priorityWeight());
        out.writeDouble(queryClass.lateWeightFraction());
        out.writeFlag(queryClass.ordered());
        writeTexts(queryClass.engineKinds(), out);
        writeTexts(queryClass.zones(), out);
        out.writeUnsigned(queryClass.threads());
        out.writeFlag(queryClass.locksTables());
        out.writeFlag(queryClass.waitsForTableLocks());
    }

    private static List<QueryClass> readQueryClasses(FrameDecoder in) throws IOException {
        int count = in.readCount(StoredLimits.MAX_COUNT);
        List<QueryClass> classes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            classes.add(readQueryClass(in));
        }
        return classes;
    }

    private static QueryClass readQueryClass(FrameDecoder in) throws IOException {
        return new QueryClass(
                in.readText(),
                in.readSigned(),
                in.readDouble(),
                in.readSigned(),
                in.readEnum(RetrySafety.values()),
                in.readEnum(DeduplicationScope.values()),
                in.readSigned(),
                in.readDouble(),
                in.readDouble(),
                in.readFlag(),
                readTexts(in),
                readTexts(in),
                in.readCount(StoredLimits.MAX_COUNT),
                in.readFlag(),
                in.readFlag());
    }

    private static List<EngineKind> readEngineKinds(FrameDecoder in) throws IOException {
        int count = in.readCount(StoredLimits.MAX_COUNT);
        List<EngineKind> kinds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            kinds.add(
                    new EngineKind(
                            in.readText(), in.readCount(StoredLimits.MAX_COUNT), in.readDouble()));
        }
        return kinds;
    }

    private static List<Tenant> readTenants(FrameDecoder in) throws IOException {
        int count = in.readCount(StoredLimits.MAX_COUNT);
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            tenants.add(new Tenant(in.readText(), in.readDouble()));
        }
        return tenants;
    }

    private static void writeTexts(Set<String> texts, FrameEncoder out) {
        out.writeUnsigned(texts.size());
        texts.forEach(out::writeText);
    }

    private static Set<String> readTexts(FrameDecoder in) throws IOException {
        int count = in.readCount(StoredLimits.MAX_COUNT);
        Set<String> texts = new LinkedHashSet<>();
        for (int i = 0; i < count; i++) {
            texts.add(in.readText());
        }
        return texts;
    }

    private static void writeCapabilities(Capabilities capabilities, FrameEncoder out) {
        out.writeFlag(capabilities.healthChecks());
        out.writeFlag(capabilities.cancellation());
        out.writeUnsigned(capabilities.maxAttempts());
        out.writeSigned(capabilities.maxRetryAfterNs());
        out.writeFlag(capabilities.memoryGrants());
        out.writeFlag(capabilities.priorities());
        out.writeDouble(capabilities.maxGrantFraction());
        out.writeFlag(capabilities.queuesForMemory());
        out.writeSigned(capabilities.progressIntervalNs());
        out.writeFlag(capabilities.reportsCost());
        out.writeFlag(capabilities.inlineLoadReports());
        out.writeFlag(capabilities.endpointsMustBeWatched());
    }

    private static Capabilities readCapabilities(FrameDecoder in) throws IOException {
        return new Capabilities(
                in.readFlag(),
                in.readFlag(),
                in.readCount(StoredLimits.MAX_COUNT),
                in.readSigned(),
                in.readFlag(),
                in.readFlag(),
                in.readDouble(),
                in.readFlag(),
                in.readSigned(),
                in.readFlag(),
                in.readFlag(),
                in.readFlag());
    }

    private static void writePolicyLimits(PolicyLimits limits, FrameEncoder out) {
        out.writeSigned(limits.drainGraceNs());
        out.writeDouble(limits.slowStartFraction());
        out.writeSigned(limits.slowStartNs());
        out.writeDouble(limits.slowStartOverloadFactor());
        out.writeSigned(limits.slowStartWindowNs());
        out.writeSigned(limits.keyQuietPeriodNs());
        out.writeDouble(limits.freeRetries());
        out.writeDouble(limits.retriesPerQuery());
        out.writeSigned(limits.retryBudgetWindowNs());
    }

    private static PolicyLimits readPolicyLimits(FrameDecoder in) throws IOException {
        return new PolicyLimits(
                in.readSigned(),
                in.readDouble(),
                in.readSigned(),
                in.readDouble(),
                in.readSigned(),
                in.readSigned(),
                in.readDouble(),
                in.readDouble(),
                in.readSigned());
    }
}
