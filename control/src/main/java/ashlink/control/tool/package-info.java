/** Client for operators that queries all routers of a fleet and submits commands to them. */
package ashlink.control.tool;
