/**
 * Checks the seven rules, and counts service, by what crossed the sockets: clients' notes and
 * engines' ledgers.
 */
package ashlink.loadtest.check;
