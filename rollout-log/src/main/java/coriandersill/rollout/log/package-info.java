/** Stores the states of rollouts on the platform's log and exchanges evidence and rollbacks between processes. */
package coriandersill.rollout.log;
