/**
 * Checks the seven invariants of the workload manager and computes the service level from what
 * clients and engines recorded, not from the state of the routers.
 */
package ashlink.loadtest.check;
