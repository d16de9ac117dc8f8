/** Simulates engines, sidecars and entries in virtual time to compare routing and admission policies. */
package coriandersill.experiment;
