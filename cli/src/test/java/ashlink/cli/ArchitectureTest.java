package ashlink.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * Checks the dependencies between packages. The Maven modules enforce most of them; this test also
 * checks packages within a module.
 */
@AnalyzeClasses(packages = "ashlink", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    @ArchTest
    static final ArchRule LAYER_DEPENDENCIES =
            layeredArchitecture()
                    .consideringOnlyDependenciesInLayers()
                    .layer("decisions")
                    .definedBy("ashlink.decisions..")
                    .layer("simulator")
                    .definedBy("ashlink.simulator..")
                    .layer("wire")
                    .definedBy("ashlink.wire..")
                    .layer("config")
                    .definedBy("ashlink.config")
                    .layer("flat")
                    .definedBy("ashlink.config.flat..")
                    .layer("client protocol")
                    .definedBy("ashlink.platform.client.protocol..")
                    .layer("collection")
                    .definedBy("ashlink.platform.collection..")
                    .layer("engine protocol")
                    .definedBy("ashlink.platform.engine.protocol..")
                    .layer("socket")
                    .definedBy("ashlink.platform.socket..")
                    .layer("engine")
                    .definedBy("ashlink.platform.engine")
                    .layer("platform client")
                    .definedBy("ashlink.platform.client")
                    .layer("platform discovery")
                    .definedBy("ashlink.platform.discovery..")
                    .layer("platform")
                    .definedBy("ashlink.platform")
                    .layer("sql")
                    .definedBy("ashlink.sql..")
                    .layer("capture")
                    .definedBy("ashlink.capture..")
                    .layer("background")
                    .definedBy("ashlink.background..")
                    .layer("report")
                    .definedBy("ashlink.report..")
                    .layer("failure")
                    .definedBy("ashlink.router.failure..")
                    .layer("core")
                    .definedBy("ashlink.router.core..")
                    .layer("discovery")
                    .definedBy("ashlink.router.discovery..")
                    .layer("classify")
                    .definedBy("ashlink.router.classify..")
                    .layer("upstream")
                    .definedBy("ashlink.router.upstream..")
                    .layer("frontend")
                    .definedBy("ashlink.router.frontend..")
                    .layer("statement")
                    .definedBy("ashlink.router.statement..")
                    .layer("spool")
                    .definedBy("ashlink.router.spool..")
                    .layer("http")
                    .definedBy("ashlink.router.http..")
                    .layer("assembly")
                    .definedBy("ashlink.router")
                    .layer("fleet")
                    .definedBy("ashlink.fleet..")
                    .layer("control")
                    .definedBy("ashlink.control..")
                    .layer("client")
                    .definedBy("ashlink.client..")
                    .layer("emulator")
                    .definedBy("ashlink.emulator..")
                    .layer("loadtest")
                    .definedBy("ashlink.loadtest..")
                    .layer("cli")
                    .definedBy("ashlink.cli..")
                    .whereLayer("decisions")
                    .mayNotAccessAnyLayer()
                    .whereLayer("simulator")
                    .mayOnlyAccessLayers("decisions", "flat")
                    .whereLayer("flat")
                    .mayOnlyAccessLayers("decisions")
                    .whereLayer("client protocol")
                    .mayNotAccessAnyLayer()
                    .whereLayer("collection")
                    .mayNotAccessAnyLayer()
                    .whereLayer("engine protocol")
                    .mayNotAccessAnyLayer()
                    .whereLayer("failure")
                    .mayNotAccessAnyLayer()
                    .whereLayer("socket")
                    .mayOnlyAccessLayers("failure")
                    .whereLayer("engine")
                    .mayOnlyAccessLayers(
                            "decisions",
                            "core",
                            "failure",
                            "flat",
                            "collection",
                            "engine protocol",
                            "socket")
                    .whereLayer("platform client")
                    .mayOnlyAccessLayers(
                            "decisions",
                            "core",
                            "failure",
                            "collection",
                            "engine",
                            "client protocol",
                            "socket")
                    .whereLayer("platform discovery")
                    .mayOnlyAccessLayers("failure", "flat", "socket")
                    .whereLayer("platform")
                    .mayOnlyAccessLayers(
                            "decisions",
                            "core",
                            "engine",
                            "platform client",
                            "flat",
                            "client protocol",
                            "platform discovery",
                            "socket")
                    .whereLayer("platform")
                    .mayOnlyBeAccessedByLayers("cli")
                    .whereLayer("wire")
                    .mayNotAccessAnyLayer()
                    .whereLayer("config")
                    .mayOnlyAccessLayers("decisions")
                    .whereLayer("core")
                    .mayOnlyAccessLayers("decisions", "failure")
                    .whereLayer("discovery")
                    .mayOnlyAccessLayers("decisions", "config")
                    .whereLayer("classify")
                    .mayOnlyAccessLayers("decisions", "config", "sql")
                    .whereLayer("sql")
                    .mayNotAccessAnyLayer()
                    .whereLayer("background")
                    .mayNotAccessAnyLayer()
                    .whereLayer("statement")
                    .mayOnlyAccessLayers("core")
                    .whereLayer("spool")
                    .mayOnlyAccessLayers("capture", "core", "statement", "wire")
                    .whereLayer("http")
                    .mayOnlyAccessLayers(
                            "background",
                            "capture",
                            "config",
                            "core",
                            "frontend",
                            "spool",
                            "statement",
                            "wire")
                    .whereLayer("report")
                    .mayOnlyAccessLayers("capture")
                    .whereLayer("capture")
                    .mayOnlyAccessLayers("decisions")
                    .whereLayer("upstream")
                    .mayOnlyAccessLayers("decisions", "config", "wire", "core", "discovery")
                    .whereLayer("frontend")
                    .mayOnlyAccessLayers(
                            "decisions", "config", "wire", "core", "classify", "upstream", "sql")
                    .whereLayer("fleet")
                    .mayNotAccessAnyLayer()
                    .whereLayer("control")
                    .mayOnlyAccessLayers("background", "capture", "fleet")
                    .whereLayer("client")
                    .mayNotAccessAnyLayer()
                    .whereLayer("emulator")
                    .mayOnlyAccessLayers("wire", "config")
                    .whereLayer("cli")
                    .mayNotBeAccessedByAnyLayer();

    /** The router core depends on no protocol, socket or file. */
    @ArchTest
    static final ArchRule CORE_HAS_NO_IO =
            noClasses()
                    .that()
                    .resideInAPackage("ashlink.router.core..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("java.net..", "java.io..", "java.nio..", "ashlink.wire..");

    /** Codecs only convert between bytes and messages. */
    @ArchTest
    static final ArchRule CODECS_HAVE_NO_SOCKETS =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            "ashlink.platform.client.protocol..",
                            "ashlink.platform.engine.protocol..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("java.net..", "java.io..", "java.util.concurrent..");

    /** Decision logic has no I/O and reads no clock. */
    @ArchTest
    static final ArchRule DECISIONS_ARE_PURE =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            "ashlink.decisions..",
                            "ashlink.router.classify..",
                            "ashlink.sql..",
                            "ashlink.emulator.model..",
                            "ashlink.background.plan..",
                            "ashlink.fleet..",
                            "ashlink.router.statement..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("java.net..", "java.io..", "java.nio.file..", "java.time..")
                    .orShould()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis");

    @ArchTest
    static final ArchRule NO_CYCLES =
            slices().matching("ashlink.router.(*)..").should().beFreeOfCycles();
}
