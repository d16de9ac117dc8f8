/** Positions in a log that may be restored from an older copy, and the eras between its restorations. */
package coriandersill.eras;
