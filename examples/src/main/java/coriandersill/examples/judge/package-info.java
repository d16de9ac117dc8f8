/** Embeds the rollout judge in a program without a daemon. */
package coriandersill.examples.judge;
