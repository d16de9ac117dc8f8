/** Decides which upstream a request goes to, which routes are ejected, and when a call is tried again. */
package coriandersill.routing;
