/** Measures what entry and sidecar add to a call, against calling the stand-in engine directly in the same run. */
package coriandersill.bench.path;
