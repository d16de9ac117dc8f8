/** A whole set of entries, sidecars and stand-ins in one process, for the quickstart and for tests. */
package coriandersill.daemon.embedded;
