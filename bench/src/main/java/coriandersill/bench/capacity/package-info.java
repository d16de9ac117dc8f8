/** Measures the slopes that docs/CAPACITY.md works with. */
package coriandersill.bench.capacity;
