/** What operators do to a fleet: asked of all routers at once, told of each. */
package ashlink.control.tool;
