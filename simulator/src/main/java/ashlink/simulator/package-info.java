/**
 * Adapter between the decision module and the operators' simulator: reads events as lines, passes
 * them to instances of the decision module, and writes the resulting actions as lines.
 */
package ashlink.simulator;
