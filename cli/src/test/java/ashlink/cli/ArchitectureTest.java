package ashlink.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * The arrows between the parts; Maven's modules keep most of them, this test those within modules
 * too.
 */
@AnalyzeClasses(packages = "ashlink", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    @ArchTest
    static final ArchRule ARROWS =
            layeredArchitecture()
                    .consideringOnlyDependenciesInLayers()
                    .layer("decisions")
                    .definedBy("ashlink.decisions..")
                    .layer("drill")
                    .definedBy("ashlink.drill..")
                    .layer("wire")
                    .definedBy("ashlink.wire..")
                    .layer("config")
                    .definedBy("ashlink.config")
                    .layer("flat")
                    .definedBy("ashlink.config.flat..")
                    .layer("frame")
                    .definedBy("ashlink.platform.frame..")
                    .layer("line")
                    .definedBy("ashlink.platform.line..")
                    .layer("socket")
                    .definedBy("ashlink.platform.socket..")
                    .layer("engine")
                    .definedBy("ashlink.platform.engine..")
                    .layer("platform front")
                    .definedBy("ashlink.platform.front..")
                    .layer("journal")
                    .definedBy("ashlink.platform.journal..")
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
                    .layer("core")
                    .definedBy("ashlink.router.core..")
                    .layer("list")
                    .definedBy("ashlink.router.list..")
                    .layer("classify")
                    .definedBy("ashlink.router.classify..")
                    .layer("upstream")
                    .definedBy("ashlink.router.upstream..")
                    .layer("front")
                    .definedBy("ashlink.router.front..")
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
                    .layer("standin")
                    .definedBy("ashlink.standin..")
                    .layer("rig")
                    .definedBy("ashlink.rig..")
                    .layer("cli")
                    .definedBy("ashlink.cli..")
                    .whereLayer("decisions")
                    .mayNotAccessAnyLayer()
                    .whereLayer("drill")
                    .mayOnlyAccessLayers("decisions", "flat")
                    .whereLayer("flat")
                    .mayOnlyAccessLayers("decisions")
                    .whereLayer("frame")
                    .mayNotAccessAnyLayer()
                    .whereLayer("line")
                    .mayNotAccessAnyLayer()
                    .whereLayer("socket")
                    .mayNotAccessAnyLayer()
                    .whereLayer("engine")
                    .mayOnlyAccessLayers("decisions", "core", "flat", "line", "socket")
                    .whereLayer("platform front")
                    .mayOnlyAccessLayers("decisions", "core", "engine", "frame", "socket")
                    .whereLayer("journal")
                    .mayOnlyAccessLayers("flat", "socket")
                    .whereLayer("platform")
                    .mayOnlyAccessLayers(
                            "decisions",
                            "core",
                            "engine",
                            "platform front",
                            "flat",
                            "frame",
                            "journal",
                            "socket")
                    .whereLayer("platform")
                    .mayOnlyBeAccessedByLayers("cli")
                    .whereLayer("wire")
                    .mayNotAccessAnyLayer()
                    .whereLayer("config")
                    .mayOnlyAccessLayers("decisions")
                    .whereLayer("core")
                    .mayOnlyAccessLayers("decisions")
                    .whereLayer("list")
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
                            "front",
                            "spool",
                            "statement",
                            "wire")
                    .whereLayer("report")
                    .mayOnlyAccessLayers("capture")
                    .whereLayer("capture")
                    .mayOnlyAccessLayers("decisions")
                    .whereLayer("upstream")
                    .mayOnlyAccessLayers("decisions", "config", "wire", "core", "list")
                    .whereLayer("front")
                    .mayOnlyAccessLayers(
                            "decisions", "config", "wire", "core", "classify", "upstream", "sql")
                    .whereLayer("fleet")
                    .mayNotAccessAnyLayer()
                    .whereLayer("control")
                    .mayOnlyAccessLayers("background", "capture", "fleet")
                    .whereLayer("client")
                    .mayNotAccessAnyLayer()
                    .whereLayer("standin")
                    .mayOnlyAccessLayers("wire", "config")
                    .whereLayer("cli")
                    .mayNotBeAccessedByAnyLayer();

    /** The core knows requests and sinks; nothing of any protocol, socket or file. */
    @ArchTest
    static final ArchRule CORE_HAS_NO_IO =
            noClasses()
                    .that()
                    .resideInAPackage("ashlink.router.core..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("java.net..", "java.io..", "java.nio..", "ashlink.wire..");

    /** Codecs are pure: bytes in, frames or answers out. */
    @ArchTest
    static final ArchRule CODECS_HAVE_NO_SOCKETS =
            noClasses()
                    .that()
                    .resideInAnyPackage("ashlink.platform.frame..", "ashlink.platform.line..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("java.net..", "java.io..", "java.util.concurrent..");

    /** What decides has no I/O, clock or unseeded randomness. */
    @ArchTest
    static final ArchRule DECISIONS_ARE_PURE =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            "ashlink.decisions..",
                            "ashlink.router.classify..",
                            "ashlink.sql..",
                            "ashlink.standin.model..",
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
