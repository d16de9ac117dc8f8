/** Internal assembly of the daemon's roles; not part of the public API. */
package coriandersill.daemon.internal;
