/** Keeps the states of rollouts on the platform's log and spreads evidence and rollbacks between processes. */
package coriandersill.rollout.log;
