package review;

/** Daemon threads. */
final class Daemons {

    private Daemons() {}

    static Thread thread(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 << 10);
        thread.setDaemon(true);
        return thread;
    }

    static Thread start(Runnable task) {
        Thread thread = thread(task);
        thread.start();
        return thread;
    }

    static void pause(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
