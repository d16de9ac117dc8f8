/** Measures the decisions on rollouts and availability zones in virtual time, with simulated traffic and upstreams. */
package coriandersill.bench.rollout;
