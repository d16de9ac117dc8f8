/** Locks with a fixed acquisition order, which assertions check at run time. */
package coriandersill.core.lock;
