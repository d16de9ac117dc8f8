/** Tracks the state of instances and determines which entries connect to which sidecars. */
package coriandersill.membership;
