/** Decides how fast a new version receives traffic, whether it is rolled back and which zones admit new work. */
package coriandersill.rollout;
