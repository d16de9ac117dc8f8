/** Measures the throughput of claims, the memory of idempotency keys, and the cost of the connection plan. */
package coriandersill.bench.coordination;
