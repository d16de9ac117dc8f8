/** Benchmarks of the routing and admission decisions. */
package coriandersill.bench.routing;
