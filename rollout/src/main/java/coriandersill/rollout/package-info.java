/** Decides how fast a new version receives traffic and whether it is rolled back; gates availability zones. */
package coriandersill.rollout;
