/** Scenarios: a fleet under load with injected faults, and the records of clients and engines. */
package ashlink.loadtest.scenario;
