/**
 * Adapter between the decision module and the operators' simulator: reads lines of events, hands
 * them to the instances of the decision module, and writes the lines of their actions.
 */
package ashlink.simulator;
