package ashlink.router.core;

/**
 * A task that waits for the decision thread.
 *
 * @param source the peer that submits the task, or null for an event
 * @param orderingKey key whose submissions keep their order over all sources, or null
 * @param queuedNs time at which the task was queued, in nanoseconds
 */
record QueuedTask(RequestSource source, String orderingKey, Runnable task, long queuedNs) {}
