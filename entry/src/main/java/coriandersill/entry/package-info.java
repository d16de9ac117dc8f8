/**
 * The front end that serves callers over HTTP and forwards their calls to sidecars as wire messages; see
 * {@link coriandersill.entry.Entry}.
 */
package coriandersill.entry;
