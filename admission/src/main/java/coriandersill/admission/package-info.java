/** Decides which requests one upstream takes now, which wait and which are refused. */
package coriandersill.admission;
