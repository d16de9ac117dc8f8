/** The parts of the entry; not for use by callers. */
package coriandersill.entry.internal;
