/** The front end for callers: HTTP in, wire messages out. {@link coriandersill.entry.Entry} is the way in. */
package coriandersill.entry;
