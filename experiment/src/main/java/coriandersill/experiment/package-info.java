/** An engine model in virtual time, a workload generator and the comparisons of routing and admission policies. */
package coriandersill.experiment;
