/** A program that embeds the rollout judge without a daemon. */
package coriandersill.examples.judge;
