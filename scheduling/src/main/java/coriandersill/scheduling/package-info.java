/** Decides in which order the generations of one entry look for an engine, and which are refused. */
package coriandersill.scheduling;
