/** Locks with a stated order, which assertions check at run time. */
package coriandersill.core.lock;
