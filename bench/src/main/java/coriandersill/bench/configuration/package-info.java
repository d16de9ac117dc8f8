/** Measures the latency and cost of configuration changes. */
package coriandersill.bench.configuration;
