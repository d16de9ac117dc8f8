/** Admission control for one upstream: decides which requests are admitted, wait or are refused. */
package coriandersill.admission;
