package ashlink.router.core;

/**
 * A task that waits for the decision thread.
 *
 * @param queuedNs time at which the task was queued, in nanoseconds
 */
record QueuedTask(Runnable task, long queuedNs) {}
