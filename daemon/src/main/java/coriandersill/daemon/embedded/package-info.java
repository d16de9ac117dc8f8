/** Entries, sidecars, stand-in upstreams and a stand-in platform in one process, for the quickstart and for tests. */
package coriandersill.daemon.embedded;
