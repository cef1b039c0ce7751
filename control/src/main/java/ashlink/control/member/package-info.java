/**
 * The part of a router that makes it a member of a fleet: exchanges membership updates with other
 * routers, replicates and logs operators' commands, and applies the commands to the router.
 */
package ashlink.control.member;
