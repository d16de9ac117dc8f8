/** Parts of the routing library that callers do not use. */
package coriandersill.routing.internal;
