/** The wiring of the daemon's roles; not for use by callers. */
package coriandersill.daemon.internal;
