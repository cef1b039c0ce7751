/**
 * A router as a member of its fleet: gossips membership, replicates and logs operators' commands,
 * and applies them to its router.
 */
package ashlink.control.member;
