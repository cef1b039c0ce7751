package ashlink.router.failure;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;

/** Tests that a failure of the log ends no thread. */
class FailureLogTest {

    private final List<String> calls = new ArrayList<>();

    /** Guards against a second error in the handler of the first one (review case 7). */
    @Test
    void anErrorWhileAFailureIsLoggedIsNotThrown() {
        Logger failing =
                (Logger)
                        Proxy.newProxyInstance(
                                Logger.class.getClassLoader(),
                                new Class<?>[] {Logger.class},
                                (proxy, method, arguments) -> {
                                    calls.add(method.getName());
                                    throw new OutOfMemoryError("while the first error is logged");
                                });
        assertDoesNotThrow(
                () -> FailureLog.error(failing, "task failed", new OutOfMemoryError("the first")));
        assertEquals(List.of("error"), calls);
    }
}
