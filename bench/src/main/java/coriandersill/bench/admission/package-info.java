/** Benchmarks of length estimation, admission and quota. */
package coriandersill.bench.admission;
