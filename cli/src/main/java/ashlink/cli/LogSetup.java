package ashlink.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;

/** Configures logging: one line per event on standard error, in plain text or JSON. */
final class LogSetup {

    private static final String PLAIN_PATTERN =
            "%d{HH:mm:ss.SSS} %-5level %logger{0} - %msg %kvp%n";

    private LogSetup() {}

    static void configure(Main.LogFormat format, String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Encoder<ILoggingEvent> encoder;
        if (format == Main.LogFormat.JSON) {
            LogstashEncoder json = new LogstashEncoder();
            json.setContext(context);
            json.start();
            encoder = json;
        } else {
            PatternLayoutEncoder plain = new PatternLayoutEncoder();
            plain.setContext(context);
            plain.setPattern(PLAIN_PATTERN);
            plain.start();
            encoder = plain;
        }
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(level, Level.INFO));
        root.addAppender(appender);
    }
}
