/**
 * A router as a member of its fleet: notices kept and carried on, members watched, commands of
 * operators done.
 */
package ashlink.control.member;
