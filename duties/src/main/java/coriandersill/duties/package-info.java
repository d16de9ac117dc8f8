/** Duties that one entry performs at a time: who holds them, usage reports, and the number of workers. */
package coriandersill.duties;
