/** Decides how fast a version takes traffic and whether it is rolled back; gates availability zones. */
package coriandersill.rollout;
