/** Internals of the routing library, not for use by callers. */
package coriandersill.routing.internal;
