/** Decides which instances are live, draining or gone, and who connects to whom. */
package coriandersill.membership;
