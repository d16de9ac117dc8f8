/** Measures the overhead that entry and sidecar add to a call, compared with direct calls in the same run. */
package coriandersill.bench.path;
