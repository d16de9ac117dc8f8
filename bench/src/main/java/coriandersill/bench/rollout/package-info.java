/** Measures the decisions on rollouts and zones in virtual time, with fakes in place of traffic and upstreams. */
package coriandersill.bench.rollout;
