/**
 * Deterministic simulation testing: runs scenarios in virtual time under many seeded schedules, with process pauses,
 * crashes, lost messages and log outages.
 */
package coriandersill.explorer;
